package io.kumquatspindle.api.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses IP addresses with a port, for example {@code 127.0.0.1:7101} or {@code [::1]:7101}. */
public final class IpAddress {
  // Host names are not accepted because resolving them can block.
  private static final Pattern ADDRESS_AND_PORT =
      Pattern.compile("[0-9.]+:[0-9]{1,5}|\\[[0-9a-fA-F:]+\\]:[0-9]{1,5}");
  private static final int MAX_PORT = 65_535;

  private IpAddress() {}

  /**
   * Parses an address.
   *
   * @param text IP address and port
   * @return the address
   * @throws IllegalArgumentException if the text is not an IP address and port
   */
  public static InetSocketAddress parse(String text) {
    if (!ADDRESS_AND_PORT.matcher(text).matches()) {
      throw new IllegalArgumentException("invalid IP address and port: " + text);
    }
    int colon = text.lastIndexOf(':');
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > MAX_PORT) {
      throw new IllegalArgumentException("invalid port: " + port);
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("invalid IP address: " + text, e);
    }
  }
}
