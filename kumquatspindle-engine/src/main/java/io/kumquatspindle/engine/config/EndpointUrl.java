package io.kumquatspindle.engine.config;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks base URLs of endpoints. */
final class EndpointUrl {
  private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
  private static final Pattern IPV4 = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);
  private static final int MAX_PORT = 65_535;

  private EndpointUrl() {}

  /** Returns what is wrong with a URL, to be read after the field's name. */
  static Optional<String> fault(String url) {
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
    // URI checks what is between the brackets of an IPv6 address.
    if (host == null || !(host.startsWith("[") || IPV4.matcher(host).matches())) {
      return Optional.of("must have an IP address as host but is " + url);
    }
    if (uri.getPort() < 1 || uri.getPort() > MAX_PORT) {
      return Optional.of("must have a port from 1 to " + MAX_PORT + " but is " + url);
    }
    boolean extra =
        uri.getRawUserInfo() != null
            || uri.getRawQuery() != null
            || uri.getRawFragment() != null
            || !(uri.getRawPath().isEmpty() || uri.getRawPath().equals("/"));
    return extra ? Optional.of("must have nothing after the port but is " + url) : Optional.empty();
  }

  /** Returns a text that is equal for URLs of the same address, for a URL without a fault. */
  static String address(String url) {
    return URI.create(url).getRawAuthority().toLowerCase(Locale.ROOT);
  }
}
