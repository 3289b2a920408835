package io.kumquatspindle.entry.request;

import java.util.function.Consumer;

/** One step of the way of a request. */
@FunctionalInterface
public interface RequestFilter {

  /**
   * Handles a request: refuses it, answers it, or passes it on, now or later on another thread.
   * Must not block.
   *
   * @param context what is known about the request
   * @param next passes the request on
   */
  void handle(RequestContext context, Consumer<RequestContext> next);
}
