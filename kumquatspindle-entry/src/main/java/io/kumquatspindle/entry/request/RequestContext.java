package io.kumquatspindle.entry.request;

import io.kumquatspindle.entry.control.AuthenticationResult;
import io.kumquatspindle.transport.logging.LogContext;
import io.opentelemetry.api.trace.Span;
import java.util.Optional;

/**
 * What the filters know about a request. Each filter passes on a copy with what it found out.
 *
 * @param request the request
 * @param requestId its id
 * @param reply where its answer goes
 * @param span its span
 * @param route kind of the request by its path
 * @param completion parsed body of a completion
 * @param caller the accepted key; empty on an open route
 * @param target what the request is for
 * @param deadlineMs time by which the first byte of the answer must be there, in milliseconds
 * @param tokenUsage tokens that are reserved and used
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
   * Runs a step of the request, whose log lines then carry its trace id and request id.
   *
   * @param step the step
   */
  public void withLogContext(Runnable step) {
    try (LogContext ids = LogContext.of(span.getSpanContext().getTraceId(), requestId)) {
      step.run();
    }
  }

  /**
   * Refuses the request.
   *
   * @param error why
   */
  public void fail(RequestError error) {
    reply.fail(error);
  }
}
