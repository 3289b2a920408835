package io.kumquatspindle.engine.config;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates paths of open routes. */
final class RoutePath {
  // Escapes, empty segments and dot segments are rejected. Each path then has one spelling, so that
  // an open route cannot reach a path that requires a key by spelling it differently.
  private static final Pattern ALLOWED_CHARACTERS = Pattern.compile("/[A-Za-z0-9._~/-]*");

  private static final List<String> RESERVED_PREFIXES = List.of("/v1", "/services");

  private RoutePath() {}

  /** Returns the error in a path, worded to follow the field's name, or empty if it is valid. */
  static Optional<String> validationError(String path) {
    if (!path.startsWith("/")) {
      return Optional.of("must start with / but is " + path);
    }
    if (!ALLOWED_CHARACTERS.matcher(path).matches()) {
      return Optional.of("may have only letters, digits and . _ ~ / - but is " + path);
    }
    boolean hasDotSegment =
        Arrays.stream(path.split("/", -1)).anyMatch(s -> s.equals(".") || s.equals(".."));
    if (hasDotSegment || path.contains("//")) {
      return Optional.of("must not have empty, . or .. segments but is " + path);
    }
    return Optional.empty();
  }

  /** Returns an error if the path is under a reserved prefix, worded to follow the field's name. */
  static Optional<String> reservedPathError(String path) {
    return RESERVED_PREFIXES.stream()
        .filter(r -> path.equals(r) || path.startsWith(r + "/"))
        .map(r -> "must not be under " + r + "/, which needs a key, but is " + path)
        .findFirst();
  }
}
