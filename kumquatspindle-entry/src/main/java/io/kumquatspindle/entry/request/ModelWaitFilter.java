package io.kumquatspindle.entry.request;

import java.util.function.Consumer;

/** Holds a completion request until its model is ready. */
final class ModelWaitFilter implements RequestFilter {
  private final ModelWaitQueue waitQueue;

  ModelWaitFilter(ModelWaitQueue waitQueue) {
    this.waitQueue = waitQueue;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    boolean waits = context.target().orElseThrow().fold(c -> true, s -> false, l -> false);
    if (waits) {
      waitQueue.awaitModel(context, next);
    } else {
      next.accept(context);
    }
  }
}
