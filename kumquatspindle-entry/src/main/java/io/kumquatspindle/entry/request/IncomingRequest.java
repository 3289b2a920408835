package io.kumquatspindle.entry.request;

import java.util.Map;
import java.util.Optional;

/**
 * A request as received from a caller.
 *
 * @param method HTTP method
 * @param path path as sent, not decoded
 * @param query query string as sent, without the question mark; empty if there is none
 * @param headers first value of each header, by name in lower case
 * @param body request body; empty if there is none
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
   * @param name name of the header, in lower case
   * @return the value, if the caller sent the header
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Omits query, headers and body, since they can contain keys. */
  @Override
  public String toString() {
    return method + " " + path;
  }
}
