package io.kumquatspindle.standins.http;

import java.io.IOException;

/** Answers the HTTP requests that arrive at one address. */
@FunctionalInterface
public interface StandIn {

  /**
   * Handles a request, now or later; must not block.
   *
   * @param x the request and the way to answer it
   * @throws IOException if the request is malformed; the caller gets 400
   */
  void handle(Exchange x) throws IOException;
}
