package io.kumquatspindle.entry.request;

import java.util.function.Consumer;

/** One step in the handling of a request. */
@FunctionalInterface
public interface RequestFilter {

  /**
   * Handles a request: responds to it, fails it or passes it on, either now or later on another
   * thread. Must not block.
   *
   * @param context state of the request
   * @param next passes the request on
   */
  void handle(RequestContext context, Consumer<RequestContext> next);
}
