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
 * One request of a caller: authorised, charged, placed, sent, and answered once. All calls are made
 * on the event loop.
 */
final class Exchange implements ModelWait.Listener {
  /** Time before the deadline at which a request that was not sent is refused, in ms. */
  private static final long REFUSE_BEFORE_MS = 80;

  /** Endpoints to which one request may fail to connect. */
  private static final int MOST_UNREACHABLE = 4;

  private final FrontParts parts;
  private final FullHttpRequest request;
  private final Answerer answer;
  private final Admission admission;
  private final long arrivedMs;
  private final Set<String> tried = new HashSet<>();
  private RequestHead head;
  private String service = "";
  private long deadlineMs;
  private int unreachable;
  private int sends;
  private int runs;
  private Optional<Attempt> attempt = Optional.empty();
  private ScheduledFuture<?> timer;
  private Optional<ModelWait> wait = Optional.empty();
  private boolean over;

  Exchange(FrontParts parts, FullHttpRequest request, CallerChannel caller) {
    this.parts = parts;
    this.request = request;
    this.arrivedMs = parts.node().now();
    this.answer = new Answerer(parts, caller);
    this.admission = new Admission(parts);
  }

  /** Begins; may answer at once. */
  void start() {
    if (over) {
      return;
    }
    try {
      head = parts.headers().call(request);
    } catch (IllegalArgumentException e) {
      fail(ErrorKind.MALFORMED_REQUEST, 0, String.valueOf(e.getMessage()));
      return;
    }
    Optional<ErrorKind> denied = admission.checkNew(head, path());
    if (denied.isPresent()) {
      fail(denied.get(), DEFAULT_RETRY_MS, admission.describeDenied(head, path()));
      return;
    }
    deadlineMs = arrivedMs + Math.min(head.deadlineMs(), route().timeoutMs());
    if (!admission.charge(head)) {
      fail(ErrorKind.OVER_RATE, admission.waitMs(head), admission.describe(head));
      return;
    }
    service = route().selectService(parts.random().nextDouble());
    parts.budgets().request(service);
    if (!head.model().isEmpty()) {
      parts.node().demand().add(head.model(), 1, arrivedMs);
      parts.quotas().modelUsed(head.model());
    }
    long last = Math.max(0, deadlineMs - arrivedMs);
    timer = parts.node().loop().schedule(this::timeUp, last, TimeUnit.MILLISECONDS);
    dispatch();
  }

  /** Time after which a caller may come back when nothing better is known, in ms. */
  static final long DEFAULT_RETRY_MS = 400;

  private String path() {
    String uri = request.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  private void dispatch() {
    if (over) {
      return;
    }
    Optional<ErrorKind> denied = admission.check(head, path());
    if (denied.isPresent()) {
      fail(denied.get(), DEFAULT_RETRY_MS, "changed while it waited");
      return;
    }
    if (route().targets().stream().noneMatch(t -> t.service().equals(service))) {
      service = route().selectService(parts.random().nextDouble());
    }
    long now = parts.node().now();
    if (deadlineMs - now < REFUSE_BEFORE_MS) {
      fail(ErrorKind.DEADLINE_TOO_SHORT, DEFAULT_RETRY_MS, "");
      return;
    }
    List<Endpoint> candidates = candidates(now);
    Optional<Endpoint> chosen = parts.selector().choose(candidates, tried, head.prefixHash(), now);
    if (chosen.isPresent()) {
      send(chosen.get(), now);
    } else if (needsModel()) {
      long goalMs = arrivedMs + route().latencyTargetMs();
      ModelWait begun = ModelWait.begin(parts, head, service, goalMs, waitUntilMs(), this);
      wait = over || attempt.isPresent() ? Optional.empty() : Optional.of(begun);
    } else {
      fail(ErrorKind.NO_ENDPOINT, DEFAULT_RETRY_MS, "candidates " + candidates.size());
    }
  }

  private boolean needsModel() {
    return !head.model().isEmpty()
        && parts.node().configuration().flatMap(c -> c.service(service)).isPresent();
  }

  private List<Endpoint> candidates(long now) {
    return head.model().isEmpty()
        ? parts.node().endpoints().of(service)
        : parts.node().endpoints().holders(service, head.model(), head.adapter(), now);
  }

  private void send(Endpoint endpoint, long now) {
    sends++;
    tried.add(endpoint.id());
    Optional<String> resume =
        answer.resumeAfter().isPresent() ? answer.resumeAfter() : head.resumeAfter();
    HeaderCodec.Forward forward =
        new HeaderCodec.Forward(
            endpoint.id(),
            Math.max(1, deadlineMs - now),
            admission.customerName(),
            admission.rank(),
            resume);
    if (!head.model().isEmpty()) {
      parts.waits().used(endpoint, head.model(), head.adapter());
    }
    line("sent")
        .field("endpoint", endpoint.id())
        .field("address", endpoint.entry().address())
        .field("attempt", sends)
        .field("use_pct", (long) (100 * endpoint.use(now)))
        .field("customer", admission.customerName().orElse(""))
        .field("charged", (long) admission.charged())
        .field("level", admission.level())
        .write();
    attempt = Optional.of(new Attempt(this, parts, endpoint, request, forward, answer));
    attempt.get().begin();
  }

  /** The endpoint did not accept the connection: the request has not been sent. */
  void onUnreachable(Endpoint endpoint) {
    attempt = Optional.empty();
    long now = parts.node().now();
    endpoint.unreachable(now);
    line("unreachable").field("endpoint", endpoint.id()).write();
    if (++unreachable >= MOST_UNREACHABLE && runs == 0) {
      fail(ErrorKind.NO_ENDPOINT, DEFAULT_RETRY_MS, "not reachable");
    } else if (answer.started() && unreachable >= MOST_UNREACHABLE) {
      breakOff("no endpoint to go on at");
    } else {
      dispatch();
    }
  }

  /** The endpoint stated that the request has not run. */
  void onNotRun(Endpoint endpoint, int status) {
    attempt = Optional.empty();
    long now = parts.node().now();
    line("not_run").field("endpoint", endpoint.id()).field("status", status).write();
    if (status == MISDIRECTED && !head.model().isEmpty()) {
      String adapter = endpoint.holds(head.model(), "", now) ? head.adapter() : "";
      endpoint.news(head.model(), adapter, false, now);
    } else {
      endpoint.avoid(now + FULL_MS);
    }
    if (parts.budgets().tryRepeat(service)) {
      parts.metrics().secondSend("not_run");
      tried.remove(status == MISDIRECTED ? endpoint.id() : "");
      dispatch();
    } else if (runs == 0) {
      fail(ErrorKind.ENDPOINT_REFUSED, DEFAULT_RETRY_MS, "status " + status);
    } else {
      failAfterRun("refused when sent again");
    }
  }

  private static final int MISDIRECTED = 421;

  /** Time for which an endpoint that is full is avoided, in ms; about a request's work. */
  private static final long FULL_MS = 100;

  /** The request may have run and has no usable answer. */
  void onBroken(Endpoint endpoint, String reason) {
    attempt = Optional.empty();
    boolean mayRepeat = mayRepeat();
    runs++;
    endpoint.outcome(true, parts.node().now());
    line("broken").field("endpoint", endpoint.id()).field("reason", reason).write();
    if (mayRepeat && parts.budgets().tryRepeat(service)) {
      parts.metrics().secondSend("broken");
      answer.prepareResume();
      dispatch();
    } else {
      failAfterRun(reason);
    }
  }

  /** Tells whether the request may be sent to another endpoint although it may have run. */
  private boolean mayRepeat() {
    boolean kind = route().repeatable() || route().resumable();
    return kind && runs + 1 < route().maxAttempts();
  }

  /** The endpoint has sent nothing for longer than usual; tells whether to give it up. */
  boolean giveUpSilent(Endpoint endpoint, long silentMs) {
    line("silent").field("endpoint", endpoint.id()).field("silent_ms", silentMs).write();
    endpoint.outcome(true, parts.node().now());
    boolean others =
        candidates(parts.node().now()).stream()
            .anyMatch(e -> !tried.contains(e.id()) && !e.avoided(parts.node().now()));
    return mayRepeat() && others;
  }

  /** Tells whether a failure that the endpoint answered may be tried elsewhere. */
  boolean tryElsewhere(Endpoint endpoint) {
    if (!route().repeatable() || runs + 1 >= route().maxAttempts()) {
      return false;
    }
    boolean others = candidates(parts.node().now()).stream().anyMatch(e -> !tried.contains(e.id()));
    if (!others || !parts.budgets().tryRepeat(service)) {
      return false;
    }
    parts.metrics().secondSend("failure_answered");
    attempt = Optional.empty();
    runs++;
    line("failure_answered").field("endpoint", endpoint.id()).write();
    dispatch();
    return true;
  }

  private void failAfterRun(String reason) {
    if (answer.started()) {
      breakOff(reason);
    } else {
      fail(ErrorKind.ENDPOINT_FAILED, 0, reason);
    }
  }

  /** The answer has been passed on whole. */
  void onServed(Endpoint endpoint, int status) {
    attempt = Optional.empty();
    long now = parts.node().now();
    long first = answer.firstByteMs() - arrivedMs;
    parts.metrics().served(route().name(), status, first, now - arrivedMs);
    line("served")
        .field("endpoint", endpoint.id())
        .field("status", status)
        .field("first_ms", first)
        .field("total_ms", now - arrivedMs)
        .write();
    end();
  }

  private void timeUp() {
    if (over) {
      return;
    }
    if (answer.started()) {
      breakOff("time is up");
    } else if (runs > 0 || attempt.map(Attempt::wasSent).orElse(false)) {
      fail(ErrorKind.DEADLINE_EXCEEDED_RUNNING, 0, "");
    } else {
      fail(ErrorKind.DEADLINE_TOO_SHORT, DEFAULT_RETRY_MS, "time is up");
    }
  }

  private void breakOff(String reason) {
    line("broken_off").field("reason", reason).write();
    parts.metrics().failed(route().name(), ErrorKind.ANSWER_INCOMPLETE);
    cancelAttempt();
    end();
    answer.breakOff();
  }

  private void fail(ErrorKind kind, long retryAfterMs, String detail) {
    line("refused")
        .field("kind", kind.code())
        .field("status", kind.status())
        .field("retry_after_ms", retryAfterMs)
        .field("detail", detail)
        .field("configuration", parts.node().configuration().map(c -> c.version()).orElse(0L))
        .write();
    parts.metrics().failed(route() == null ? "" : route().name(), kind);
    cancelAttempt();
    if (kind.executionStatus() == ExecutionStatus.NOT_RUN) {
      admission.giveBack();
    }
    end();
    answer.refuse(kind, retryAfterMs, head == null ? "" : head.id());
  }

  /** Refuses the request if it waits for an endpoint. */
  void stopWaiting() {
    if (wait.isPresent() && !over && runs == 0) {
      fail(ErrorKind.SHUTTING_DOWN, DEFAULT_RETRY_MS, "");
    }
  }

  void callerLeft() {
    if (!over) {
      line("caller_left").field("after_ms", parts.node().now() - arrivedMs).write();
      cancelAttempt();
      end();
    }
  }

  void callerWritable(boolean writable) {
    attempt.ifPresent(a -> a.reading(writable));
  }

  private void cancelAttempt() {
    attempt.ifPresent(Attempt::cancel);
    attempt = Optional.empty();
  }

  private void end() {
    over = true;
    if (timer != null) {
      timer.cancel(false);
    }
    wait.ifPresent(ModelWait::leave);
    request.release();
  }

  private EventLog.Line line(String kind) {
    return parts
        .node()
        .log()
        .line(kind)
        .field("id", head == null ? "" : head.id())
        .field("route", route() == null ? "" : route().name())
        .field("age_ms", parts.node().now() - arrivedMs);
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

  /** Returns when the caller goes away if it has got nothing, less the time to tell it. */
  private long waitUntilMs() {
    long patience = route().clientTimeoutMs();
    long leaves = patience == Long.MAX_VALUE ? deadlineMs : arrivedMs + patience;
    return Math.min(deadlineMs, leaves) - REFUSE_BEFORE_MS;
  }

  @Override
  public void modelHeld() {
    wait = Optional.empty();
    tried.clear();
    dispatch();
  }

  @Override
  public void modelTooLate(long retryAfterMs) {
    wait = Optional.empty();
    if (runs > 0) {
      failAfterRun("model is not there in time");
    } else {
      fail(ErrorKind.LOAD_REFUSED, retryAfterMs, "model " + head.model());
    }
  }
}
