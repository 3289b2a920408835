package io.kumquatspindle.engine.config;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates base URLs of endpoints. */
final class EndpointUrl {
  private static final String IPV4_OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
  private static final Pattern IPV4 = Pattern.compile("(" + IPV4_OCTET + "\\.){3}" + IPV4_OCTET);
  private static final int MAX_PORT = 65_535;

  private EndpointUrl() {}

  /** Returns the error in a URL, worded to follow the field's name, or empty if it is valid. */
  static Optional<String> validationError(String url) {
    URI uri;
    try {
      uri = new URI(url);
    } catch (URISyntaxException e) {
      return Optional.of("is not a URL: " + url);
    }
    if (!"http".equals(uri.getScheme())) {
      return Optional.of("must start with http:// but is " + url);
    }
    String host = uri.getHost();
    // URI itself validates an IPv6 address in brackets.
    if (host == null || !(host.startsWith("[") || IPV4.matcher(host).matches())) {
      return Optional.of("must have an IP address as host but is " + url);
    }
    if (uri.getPort() < 1 || uri.getPort() > MAX_PORT) {
      return Optional.of("must have a port from 1 to " + MAX_PORT + " but is " + url);
    }
    boolean hasExtraParts =
        uri.getRawUserInfo() != null
            || uri.getRawQuery() != null
            || uri.getRawFragment() != null
            || !(uri.getRawPath().isEmpty() || uri.getRawPath().equals("/"));
    return hasExtraParts
        ? Optional.of("must have nothing after the port but is " + url)
        : Optional.empty();
  }

  /** Returns host and port of a valid URL in a form that is equal for equal addresses. */
  static String normalizedAuthority(String url) {
    return URI.create(url).getRawAuthority().toLowerCase(Locale.ROOT);
  }
}
