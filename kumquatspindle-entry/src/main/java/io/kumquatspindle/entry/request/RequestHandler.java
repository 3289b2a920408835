package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.entry.control.ConfigurationView;
import io.kumquatspindle.entry.control.ControlClient;
import io.kumquatspindle.entry.control.ControlState;
import io.kumquatspindle.entry.control.TokenAccounts;
import io.opentelemetry.api.trace.Span;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Receives requests from the HTTP server and runs them through the filter chain. */
public final class RequestHandler {
  private final FilterChain chain;
  private final RequestLimits limits;
  private final RequestEnvironment env;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong bodyBytes = new AtomicLong();
  private volatile boolean accepting = true;

  private RequestHandler(FilterChain chain, RequestLimits limits, RequestEnvironment env) {
    this.chain = chain;
    this.limits = limits;
    this.env = env;
  }

  /**
   * Creates a handler.
   *
   * @param limits limits on requests
   * @param controlState state received from control
   * @param control sends requests to control
   * @param accounts token accounts
   * @param waitQueue holds requests until their models are ready
   * @param dispatch last filter of the chain, which sends requests to endpoints
   * @param env clock, timers, metrics and tracing
   * @return the handler
   */
  public static RequestHandler create(
      RequestLimits limits,
      ControlState controlState,
      ControlClient control,
      TokenAccounts accounts,
      ModelWaitQueue waitQueue,
      RequestFilter dispatch,
      RequestEnvironment env) {
    ConfigurationView configuration = controlState.configuration();
    FilterChain chain =
        new FilterChain(
            List.of(
                new TraceFilter(),
                new ParseFilter(configuration, limits.maxBodyBytes()),
                new AuthenticationFilter(configuration, env.clock()),
                new LookupFilter(configuration, limits.defaultMaxTokens()),
                new ModelListFilter(configuration),
                new DeadlineFilter(limits.defaultDeadline(), limits.maxDeadline()),
                new QuotaFilter(accounts, env.metrics(), env.clock(), env.executor()),
                new ModelWaitFilter(waitQueue),
                new IdempotencyFilter(control, env.clock(), env.executor()),
                dispatch));
    return new RequestHandler(chain, limits, env);
  }

  /**
   * Handles a request.
   *
   * @param request the request
   * @param response writes the response
   */
  public void handle(IncomingRequest request, CallerResponse response) {
    RequestContext context = begin(request, response);
    long size = request.body().length;
    if (!accepting) {
      context.span().end();
      context.fail(RequestError.of(ErrorKind.SHUTTING_DOWN, "the VM is stopping"));
    } else if (bodyBytes.addAndGet(size) > limits.maxTotalBodyBytes()) {
      bodyBytes.addAndGet(-size);
      context.span().end();
      context.fail(RequestError.of(ErrorKind.QUEUE_FULL, "too many bytes of requests are held"));
    } else {
      context.reply().onEnd(o -> bodyBytes.addAndGet(-size));
      chain.start(context);
    }
  }

  /**
   * Rejects a request that the HTTP server could not parse.
   *
   * @param request the parts of the request that could be parsed
   * @param response writes the response
   * @param kind kind of error
   * @param message explanation for the caller
   */
  public void reject(
      IncomingRequest request, CallerResponse response, ErrorKind kind, String message) {
    RequestContext context = begin(request, response);
    context.span().end();
    context.fail(RequestError.of(kind, message));
  }

  /**
   * Returns the number of requests whose response has not been written completely.
   *
   * @return number of requests in flight
   */
  public int inFlight() {
    return inFlight.get();
  }

  /** Rejects new requests from now on. */
  public void stopAccepting() {
    accepting = false;
  }

  private RequestContext begin(IncomingRequest request, CallerResponse response) {
    String id = newId();
    Reply reply = new Reply(response, id, inFlight::decrementAndGet);
    inFlight.incrementAndGet();
    reply.onEnd(o -> recordOutcome(request, o));
    Span span = env.traces().startRequestSpan(request.header("traceparent"), id);
    long deadlineMs = request.arrivedMs() + limits.defaultDeadline().toMillis();
    return RequestContext.start(request, id, reply, span, deadlineMs);
  }

  private void recordOutcome(IncomingRequest request, Outcome outcome) {
    env.metrics().recordRequest(outcome.kind(), env.clock().nowMs() - request.arrivedMs());
  }

  private static String newId() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return HexFormat.of().toHexDigits(random.nextLong())
        + HexFormat.of().toHexDigits(random.nextLong());
  }
}
