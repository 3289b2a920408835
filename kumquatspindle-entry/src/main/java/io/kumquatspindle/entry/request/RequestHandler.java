package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.entry.control.ConfigurationView;
import io.kumquatspindle.entry.control.ControlClient;
import io.kumquatspindle.entry.control.TokenAccounts;
import io.kumquatspindle.entry.control.Views;
import io.opentelemetry.api.trace.Span;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Takes requests from the HTTP server and sends them through the filters. */
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
   * @param limits limits of single requests
   * @param views state that control sends
   * @param control requests to control
   * @param accounts token accounts
   * @param room where requests wait for models
   * @param dispatch the last filter
   * @param env clock, timers and observation
   * @return the handler
   */
  public static RequestHandler create(
      RequestLimits limits,
      Views views,
      ControlClient control,
      TokenAccounts accounts,
      ModelWaitRoom room,
      RequestFilter dispatch,
      RequestEnvironment env) {
    ConfigurationView configuration = views.configuration();
    FilterChain chain =
        new FilterChain(
            List.of(
                new TraceFilter(),
                new ParseFilter(configuration, limits.bodyBytes()),
                new AuthenticationFilter(configuration, env.clock()),
                new LookupFilter(configuration, limits.defaultMaxTokens()),
                new ModelListFilter(configuration),
                new DeadlineFilter(limits.defaultDeadline(), limits.maxDeadline()),
                new QuotaFilter(accounts, env.metrics(), env.clock(), env.executor()),
                new WaitFilter(room),
                new IntentFilter(control, env.clock(), env.executor()),
                dispatch));
    return new RequestHandler(chain, limits, env);
  }

  /**
   * Handles a request.
   *
   * @param request the request
   * @param answer where its answer goes
   */
  public void handle(IncomingRequest request, CallerAnswer answer) {
    RequestContext context = begin(request, answer);
    long size = request.body().length;
    if (!accepting) {
      context.span().end();
      context.refuse(Refusal.of(ErrorKind.SHUTTING_DOWN, "the VM is stopping"));
    } else if (bodyBytes.addAndGet(size) > limits.bodyBytesAtOnce()) {
      bodyBytes.addAndGet(-size);
      context.span().end();
      context.refuse(Refusal.of(ErrorKind.QUEUE_FULL, "too many bytes of requests are held"));
    } else {
      context.reply().onEnd(o -> bodyBytes.addAndGet(-size));
      chain.start(context);
    }
  }

  /**
   * Refuses a request that the HTTP server could not read.
   *
   * @param request what is known of the request
   * @param answer where the refusal goes
   * @param kind why
   * @param message explanation for the caller
   */
  public void refuse(IncomingRequest request, CallerAnswer answer, ErrorKind kind, String message) {
    RequestContext context = begin(request, answer);
    context.span().end();
    context.refuse(Refusal.of(kind, message));
  }

  /**
   * Returns the number of requests whose answer has not been written completely.
   *
   * @return the number
   */
  public int inFlight() {
    return inFlight.get();
  }

  /** Refuses new requests from now on. */
  public void stopAccepting() {
    accepting = false;
  }

  private RequestContext begin(IncomingRequest request, CallerAnswer answer) {
    String id = newId();
    Reply reply = new Reply(answer, id, inFlight::decrementAndGet);
    inFlight.incrementAndGet();
    reply.onEnd(o -> ended(request, o));
    Span span = env.traces().request(request.header("traceparent"), id);
    long deadlineMs = request.arrivedMs() + limits.defaultDeadline().toMillis();
    return RequestContext.start(request, id, reply, span, deadlineMs);
  }

  private void ended(IncomingRequest request, Outcome outcome) {
    env.metrics().requestEnded(outcome.kind(), env.clock().nowMs() - request.arrivedMs());
  }

  private static String newId() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return HexFormat.of().toHexDigits(random.nextLong())
        + HexFormat.of().toHexDigits(random.nextLong());
  }
}
