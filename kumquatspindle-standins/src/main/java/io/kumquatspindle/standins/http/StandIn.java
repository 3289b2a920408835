package io.kumquatspindle.standins.http;

import java.io.IOException;

/** A simulated service, which handles the HTTP requests that arrive at one address. */
@FunctionalInterface
public interface StandIn {

  /**
   * Handles a request. Must not block; the response may be sent later.
   *
   * @param exchange the request and its response
   * @throws IOException if the request is malformed; the client gets status 400
   */
  void handle(HttpServerExchange exchange) throws IOException;
}
