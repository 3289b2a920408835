package io.kumquatspindle.entry.request;

import java.util.Map;
import java.util.Optional;

/**
 * A request as it came from a caller.
 *
 * @param method HTTP method
 * @param path path as sent, not decoded
 * @param query query string as sent, without the question mark; empty if there is none
 * @param headers first value of each header, by name in lower case
 * @param body the body; empty if there is none
 * @param arrivedMs time of arrival on the monotonic clock, in milliseconds
 */
public record IncomingRequest(
    String method,
    String path,
    String query,
    Map<String, String> headers,
    byte[] body,
    long arrivedMs) {

  /**
   * Returns a header.
   *
   * @param name the header's name in lower case
   * @return its value, if the caller sent it
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Leaves out query, headers and body, which can contain keys. */
  @Override
  public String toString() {
    return method + " " + path;
  }
}
