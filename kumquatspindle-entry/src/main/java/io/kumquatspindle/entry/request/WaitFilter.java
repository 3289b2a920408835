package io.kumquatspindle.entry.request;

import java.util.function.Consumer;

/** Lets a completion wait until its model is ready. */
final class WaitFilter implements RequestFilter {
  private final ModelWaitRoom room;

  WaitFilter(ModelWaitRoom room) {
    this.room = room;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    boolean waits = context.target().orElseThrow().fold(c -> true, s -> false, l -> false);
    if (waits) {
      room.enter(context, next);
    } else {
      next.accept(context);
    }
  }
}
