package io.kumquatspindle.entry.http;

import io.netty.channel.Channel;

/** Bounds what the connections of one listener take of the process. */
interface ConnectionGuard {
  /**
   * Adds handlers to the pipeline of a new connection, or closes it. Called on the event loop of
   * the connection, after Jooby has added its handlers.
   *
   * @param channel the connection
   */
  void install(Channel channel);
}
