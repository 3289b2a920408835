package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.RouteSpec;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.node.observe.EventLog;
import io.kumquatspindle.node.port.HeaderCodec;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Handles one request of a caller: authorises and charges it, chooses an endpoint, sends it with
 * retries where allowed, and answers it exactly once. All calls are made on the event loop.
 */
final class Exchange implements ModelWait.Listener {
  /** Remaining time below which a request that was not sent is rejected, in ms. */
  private static final long DEADLINE_MARGIN_MS = 80;

  /** Number of failed connects after which a request is given up. */
  private static final int MAX_UNREACHABLE_ENDPOINTS = 4;

  private final FrontContext context;
  private final FullHttpRequest request;
  private final ResponseForwarder forwarder;
  private final Admission admission;
  private final long arrivedMs;
  private final Set<String> tried = new HashSet<>();
  private RequestHead head;
  private String service = "";
  private long deadlineMs;
  private int unreachableCount;
  private int sendCount;
  private int failedRuns;
  private Optional<EndpointAttempt> attempt = Optional.empty();
  private ScheduledFuture<?> timer;
  private Optional<ModelWait> modelWait = Optional.empty();
  private boolean finished;

  Exchange(FrontContext context, FullHttpRequest request, CallerResponseWriter caller) {
    this.context = context;
    this.request = request;
    this.arrivedMs = context.node().now();
    this.forwarder = new ResponseForwarder(context, caller);
    this.admission = new Admission(context);
  }

  /** Starts the handling; may answer the request before it returns. */
  void start() {
    if (finished) {
      return;
    }
    try {
      head = context.headerCodec().decodeRequest(request);
    } catch (IllegalArgumentException e) {
      fail(ErrorKind.MALFORMED_REQUEST, 0, String.valueOf(e.getMessage()));
      return;
    }
    Optional<ErrorKind> denied = admission.checkNewRequest(head, path());
    if (denied.isPresent()) {
      fail(denied.get(), DEFAULT_RETRY_AFTER_MS, admission.describeDenial(head, path()));
      return;
    }
    deadlineMs = arrivedMs + Math.min(head.deadlineMs(), route().timeoutMs());
    if (!admission.charge(head)) {
      fail(ErrorKind.OVER_RATE, admission.retryAfterMs(head), admission.describeRate(head));
      return;
    }
    service = route().selectService(context.random().nextDouble());
    context.retryBudgets().recordRequest(service);
    if (!head.model().isEmpty()) {
      context.node().demand().addRequests(head.model(), 1, arrivedMs);
      context.quotas().recordModelUse(head.model());
    }
    long timeoutMs = Math.max(0, deadlineMs - arrivedMs);
    timer = context.node().loop().schedule(this::onDeadline, timeoutMs, TimeUnit.MILLISECONDS);
    dispatch();
  }

  /** Retry-After of rejections without a better estimate, in ms. */
  static final long DEFAULT_RETRY_AFTER_MS = 400;

  private String path() {
    String uri = request.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  private void dispatch() {
    if (finished) {
      return;
    }
    Optional<ErrorKind> denied = admission.check(head, path());
    if (denied.isPresent()) {
      fail(denied.get(), DEFAULT_RETRY_AFTER_MS, "configuration changed while waiting");
      return;
    }
    if (route().targets().stream().noneMatch(t -> t.service().equals(service))) {
      service = route().selectService(context.random().nextDouble());
    }
    long now = context.node().now();
    if (deadlineMs - now < DEADLINE_MARGIN_MS) {
      fail(ErrorKind.DEADLINE_TOO_SHORT, DEFAULT_RETRY_AFTER_MS, "");
      return;
    }
    List<Endpoint> candidates = candidates(now);
    Optional<Endpoint> next = context.selector().choose(candidates, tried, head.prefixHash(), now);
    if (next.isPresent()) {
      send(next.get(), now);
    } else if (needsModel()) {
      long goalMs = arrivedMs + route().latencyTargetMs();
      ModelWait wait = ModelWait.start(context, head, service, goalMs, waitDeadlineMs(), this);
      modelWait = finished || attempt.isPresent() ? Optional.empty() : Optional.of(wait);
    } else {
      fail(ErrorKind.NO_ENDPOINT, DEFAULT_RETRY_AFTER_MS, "candidates " + candidates.size());
    }
  }

  private boolean needsModel() {
    return !head.model().isEmpty()
        && context.node().configuration().flatMap(c -> c.service(service)).isPresent();
  }

  private List<Endpoint> candidates(long now) {
    return head.model().isEmpty()
        ? context.node().endpoints().available(service)
        : context.node().endpoints().holders(service, head.model(), head.adapter(), now);
  }

  private void send(Endpoint endpoint, long now) {
    sendCount++;
    tried.add(endpoint.id());
    Optional<String> resumeAfter =
        forwarder.lastEventId().isPresent() ? forwarder.lastEventId() : head.resumeAfter();
    HeaderCodec.Forward params =
        new HeaderCodec.Forward(
            endpoint.id(),
            Math.max(1, deadlineMs - now),
            admission.customerName(),
            admission.priority(),
            resumeAfter);
    if (!head.model().isEmpty()) {
      context.pendingRequests().recordUse(endpoint, head.model(), head.adapter());
    }
    logLine("sent")
        .field("endpoint", endpoint.id())
        .field("address", endpoint.entry().address())
        .field("attempt", sendCount)
        .field("use_pct", (long) (100 * endpoint.utilization(now)))
        .field("customer", admission.customerName().orElse(""))
        .field("charged", (long) admission.chargedCost())
        .field("level", admission.remainingQuota())
        .write();
    attempt = Optional.of(new EndpointAttempt(this, context, endpoint, request, params, forwarder));
    attempt.get().start();
  }

  /** Called when the connect to the endpoint failed, so that the request was not sent. */
  void onUnreachable(Endpoint endpoint) {
    attempt = Optional.empty();
    long now = context.node().now();
    endpoint.recordConnectFailure(now);
    logLine("unreachable").field("endpoint", endpoint.id()).write();
    if (++unreachableCount >= MAX_UNREACHABLE_ENDPOINTS && failedRuns == 0) {
      fail(ErrorKind.NO_ENDPOINT, DEFAULT_RETRY_AFTER_MS, "no endpoint reachable");
    } else if (forwarder.started() && unreachableCount >= MAX_UNREACHABLE_ENDPOINTS) {
      abort("no reachable endpoint to resume the stream");
    } else {
      dispatch();
    }
  }

  void onNotRun(Endpoint endpoint, int status) {
    attempt = Optional.empty();
    long now = context.node().now();
    logLine("not_run").field("endpoint", endpoint.id()).field("status", status).write();
    if (status == MISDIRECTED && !head.model().isEmpty()) {
      String adapter = endpoint.holds(head.model(), "", now) ? head.adapter() : "";
      endpoint.updateHolding(head.model(), adapter, false, now);
    } else {
      endpoint.avoidUntil(now + OVERLOAD_AVOID_MS);
    }
    if (context.retryBudgets().tryRetry(service)) {
      context.metrics().recordRetry("not_run");
      tried.remove(status == MISDIRECTED ? endpoint.id() : "");
      dispatch();
    } else if (failedRuns == 0) {
      fail(ErrorKind.ENDPOINT_REFUSED, DEFAULT_RETRY_AFTER_MS, "endpoint status " + status);
    } else {
      failAfterRun("retry not run by the endpoint");
    }
  }

  private static final int MISDIRECTED = 421;

  /** Time for which an overloaded endpoint is avoided, in ms; about the work of one request. */
  private static final long OVERLOAD_AVOID_MS = 100;

  /** Called when there is no usable response although the request may have run. */
  void onFailed(Endpoint endpoint, String reason) {
    attempt = Optional.empty();
    boolean mayRetry = mayRetry();
    failedRuns++;
    endpoint.recordOutcome(true, context.node().now());
    logLine("broken").field("endpoint", endpoint.id()).field("reason", reason).write();
    if (mayRetry && context.retryBudgets().tryRetry(service)) {
      context.metrics().recordRetry("broken");
      forwarder.discardPartialEvent();
      dispatch();
    } else {
      failAfterRun(reason);
    }
  }

  /** Returns whether the request may be sent to another endpoint although it may have run. */
  private boolean mayRetry() {
    boolean retryable = route().repeatable() || route().resumable();
    return retryable && failedRuns + 1 < route().maxAttempts();
  }

  /** Called when the endpoint exceeds its idle timeout; returns whether to end the attempt. */
  boolean onIdleTimeout(Endpoint endpoint, long idleMs) {
    logLine("silent").field("endpoint", endpoint.id()).field("silent_ms", idleMs).write();
    endpoint.recordOutcome(true, context.node().now());
    boolean others =
        candidates(context.node().now()).stream()
            .anyMatch(e -> !tried.contains(e.id()) && !e.avoided(context.node().now()));
    return mayRetry() && others;
  }

  /** Retries a request that the endpoint answered with a failure; returns false if not allowed. */
  boolean retryElsewhere(Endpoint endpoint) {
    if (!route().repeatable() || failedRuns + 1 >= route().maxAttempts()) {
      return false;
    }
    boolean more = candidates(context.node().now()).stream().anyMatch(e -> !tried.contains(e.id()));
    if (!more || !context.retryBudgets().tryRetry(service)) {
      return false;
    }
    context.metrics().recordRetry("failure_answered");
    attempt = Optional.empty();
    failedRuns++;
    logLine("failure_answered").field("endpoint", endpoint.id()).write();
    dispatch();
    return true;
  }

  private void failAfterRun(String reason) {
    if (forwarder.started()) {
      abort(reason);
    } else {
      fail(ErrorKind.ENDPOINT_FAILED, 0, reason);
    }
  }

  void onServed(Endpoint endpoint, int status) {
    attempt = Optional.empty();
    long now = context.node().now();
    long first = forwarder.firstByteMs() - arrivedMs;
    context.metrics().recordServed(route().name(), status, first, now - arrivedMs);
    logLine("served")
        .field("endpoint", endpoint.id())
        .field("status", status)
        .field("first_ms", first)
        .field("total_ms", now - arrivedMs)
        .write();
    finish();
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    if (forwarder.started()) {
      abort("deadline exceeded");
    } else if (failedRuns > 0 || attempt.map(EndpointAttempt::wasSent).orElse(false)) {
      fail(ErrorKind.DEADLINE_EXCEEDED_RUNNING, 0, "");
    } else {
      fail(ErrorKind.DEADLINE_TOO_SHORT, DEFAULT_RETRY_AFTER_MS, "deadline exceeded");
    }
  }

  private void abort(String reason) {
    logLine("broken_off").field("reason", reason).write();
    context.metrics().recordFailed(route().name(), ErrorKind.ANSWER_INCOMPLETE);
    cancelAttempt();
    finish();
    forwarder.abort();
  }

  private void fail(ErrorKind kind, long retryAfterMs, String detail) {
    logLine("refused")
        .field("kind", kind.code())
        .field("status", kind.status())
        .field("retry_after_ms", retryAfterMs)
        .field("detail", detail)
        .field("configuration", context.node().configuration().map(c -> c.version()).orElse(0L))
        .write();
    context.metrics().recordFailed(route() == null ? "" : route().name(), kind);
    cancelAttempt();
    if (kind.executionStatus() == ExecutionStatus.NOT_RUN) {
      admission.refund();
    }
    finish();
    forwarder.sendError(kind, retryAfterMs, head == null ? "" : head.id());
  }

  /** Rejects the request if it is waiting for its model, because the program stops. */
  void rejectIfWaiting() {
    if (modelWait.isPresent() && !finished && failedRuns == 0) {
      fail(ErrorKind.SHUTTING_DOWN, DEFAULT_RETRY_AFTER_MS, "");
    }
  }

  void onCallerDisconnected() {
    if (!finished) {
      logLine("caller_left").field("after_ms", context.node().now() - arrivedMs).write();
      cancelAttempt();
      finish();
    }
  }

  void onCallerWritabilityChanged(boolean writable) {
    attempt.ifPresent(a -> a.setReading(writable));
  }

  private void cancelAttempt() {
    attempt.ifPresent(EndpointAttempt::cancel);
    attempt = Optional.empty();
  }

  private void finish() {
    finished = true;
    if (timer != null) {
      timer.cancel(false);
    }
    modelWait.ifPresent(ModelWait::cancel);
    request.release();
  }

  private EventLog.Line logLine(String event) {
    return context
        .node()
        .log()
        .line(event)
        .field("id", head == null ? "" : head.id())
        .field("route", route() == null ? "" : route().name())
        .field("age_ms", context.node().now() - arrivedMs);
  }

  RouteSpec route() {
    return admission.route();
  }

  String id() {
    return head.id();
  }

  String model() {
    return head.model();
  }

  String adapter() {
    return head.adapter();
  }

  /** Returns when to reject the request, shortly before the caller disconnects by itself. */
  private long waitDeadlineMs() {
    long timeoutMs = route().clientTimeoutMs();
    long disconnectMs = timeoutMs == Long.MAX_VALUE ? deadlineMs : arrivedMs + timeoutMs;
    return Math.min(deadlineMs, disconnectMs) - DEADLINE_MARGIN_MS;
  }

  @Override
  public void onModelAvailable() {
    modelWait = Optional.empty();
    tried.clear();
    dispatch();
  }

  @Override
  public void onModelUnavailable(long retryAfterMs) {
    modelWait = Optional.empty();
    if (failedRuns > 0) {
      failAfterRun("model not loaded in time");
    } else {
      fail(ErrorKind.LOAD_REFUSED, retryAfterMs, "model " + head.model());
    }
  }
}
