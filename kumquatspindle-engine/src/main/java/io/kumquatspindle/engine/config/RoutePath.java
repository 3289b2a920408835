package io.kumquatspindle.engine.config;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks paths of open routes. */
final class RoutePath {
  // Without escapes and empty or dot segments, a path has one spelling, so that a route cannot
  // reach the paths that need a key in another spelling.
  private static final Pattern PLAIN = Pattern.compile("/[A-Za-z0-9._~/-]*");

  private static final List<String> RESERVED = List.of("/v1", "/services");

  private RoutePath() {}

  /** Returns what is wrong with a path, to be read after the field's name. */
  static Optional<String> fault(String path) {
    if (!path.startsWith("/")) {
      return Optional.of("must start with / but is " + path);
    }
    if (!PLAIN.matcher(path).matches()) {
      return Optional.of("may have only letters, digits and . _ ~ / - but is " + path);
    }
    boolean dots =
        Arrays.stream(path.split("/", -1)).anyMatch(s -> s.equals(".") || s.equals(".."));
    if (dots || path.contains("//")) {
      return Optional.of("must not have empty, . or .. segments but is " + path);
    }
    return Optional.empty();
  }

  /** Returns with which reserved path an open route collides. */
  static Optional<String> collision(String path) {
    return RESERVED.stream()
        .filter(r -> path.equals(r) || path.startsWith(r + "/"))
        .map(r -> "must not be under " + r + "/, which needs a key, but is " + path)
        .findFirst();
  }
}
