package io.kumquatspindle.entry.request;

import io.kumquatspindle.entry.control.AuthenticationResult;
import io.kumquatspindle.transport.logging.LogContext;
import io.opentelemetry.api.trace.Span;
import java.util.Optional;

/**
 * Immutable state of a request in the filter chain. Filters add to it by passing on a copy.
 *
 * @param request the request as received
 * @param requestId id of the request
 * @param reply sends the response
 * @param span tracing span of the request
 * @param route route that the path selects
 * @param completion parsed body, for a completion request
 * @param caller the authenticated caller; empty on an open route
 * @param target model, service or list that is requested
 * @param deadlineMs time by which the first byte of the response must have arrived, in milliseconds
 * @param tokenUsage tokens used so far
 */
public record RequestContext(
    IncomingRequest request,
    String requestId,
    Reply reply,
    Span span,
    Optional<Route> route,
    Optional<CompletionBody> completion,
    Optional<AuthenticationResult.Accepted> caller,
    Optional<Target> target,
    long deadlineMs,
    TokenUsage tokenUsage) {

  static RequestContext start(
      IncomingRequest request, String requestId, Reply reply, Span span, long deadlineMs) {
    return new RequestContext(
        request,
        requestId,
        reply,
        span,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        deadlineMs,
        new TokenUsage());
  }

  RequestContext withRoute(Route found, Optional<CompletionBody> body) {
    Optional<Route> r = Optional.of(found);
    return new RequestContext(
        request, requestId, reply, span, r, body, caller, target, deadlineMs, tokenUsage);
  }

  RequestContext withCaller(AuthenticationResult.Accepted accepted) {
    Optional<AuthenticationResult.Accepted> c = Optional.of(accepted);
    return new RequestContext(
        request, requestId, reply, span, route, completion, c, target, deadlineMs, tokenUsage);
  }

  RequestContext withTarget(Target found) {
    Optional<Target> t = Optional.of(found);
    return new RequestContext(
        request, requestId, reply, span, route, completion, caller, t, deadlineMs, tokenUsage);
  }

  RequestContext withDeadline(long ms) {
    return new RequestContext(
        request, requestId, reply, span, route, completion, caller, target, ms, tokenUsage);
  }

  /**
   * Runs a step of the request with its trace id and request id in the logging context.
   *
   * @param step the step
   */
  public void withLogContext(Runnable step) {
    try (LogContext ids = LogContext.of(span.getSpanContext().getTraceId(), requestId)) {
      step.run();
    }
  }

  /**
   * Ends the request with an error.
   *
   * @param error the error
   */
  public void fail(RequestError error) {
    reply.fail(error);
  }
}
