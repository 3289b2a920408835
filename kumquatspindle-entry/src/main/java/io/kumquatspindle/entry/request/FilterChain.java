package io.kumquatspindle.entry.request;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.error.ErrorKind;
import java.util.List;
import java.util.function.Consumer;

/** Runs filters in order. A request whose filter throws is answered with an internal error. */
final class FilterChain {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final List<RequestFilter> filters;

  FilterChain(List<RequestFilter> filters) {
    this.filters = List.copyOf(filters);
  }

  void start(RequestContext context) {
    next(0).accept(context);
  }

  private Consumer<RequestContext> next(int index) {
    return context -> context.withLogContext(() -> run(index, context));
  }

  private void run(int index, RequestContext context) {
    try {
      filters.get(index).handle(context, next(index + 1));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("request %s failed", context.requestId());
      context.fail(RequestError.of(ErrorKind.INTERNAL, "internal error"));
    }
  }
}
