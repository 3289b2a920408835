package io.kumquatspindle.entry.request;

import io.opentelemetry.api.trace.StatusCode;
import java.util.function.Consumer;

/** Records the outcome of a request in its span, and ends the span. */
final class TraceFilter implements RequestFilter {

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    context.reply().onEnd(o -> end(context, o));
    next.accept(context);
  }

  private static void end(RequestContext context, Outcome outcome) {
    context.span().setAttribute("request.kind", outcome.kind());
    if (!outcome.kind().equals(Outcome.OK)) {
      context.span().setStatus(StatusCode.ERROR, outcome.kind());
    }
    context.span().end();
  }
}
