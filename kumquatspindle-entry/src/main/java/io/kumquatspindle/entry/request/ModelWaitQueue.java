package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.Outlook;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.request.FairQueue;
import io.kumquatspindle.engine.request.FairQueue.QueuedRequest;
import io.kumquatspindle.entry.control.ControlClient;
import io.kumquatspindle.entry.control.ControlState;
import io.kumquatspindle.entry.observe.EntryMetrics;
import io.kumquatspindle.entry.observe.Traces;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Holds requests for models that have no ready replica. A request leaves the queue when it is
 * passed on, when it fails, or when its caller disconnects.
 */
public final class ModelWaitQueue {
  /** Period of {@link #tick} in milliseconds; deadlines are enforced with at most this delay. */
  public static final long TICK_MS = 50;

  /** Minimum time between two reports to control about the same model, in milliseconds. */
  static final long REPORT_PERIOD_MS = 500;

  // Control sends a new outlook in response to each report; older outlooks are ignored.
  private static final long OUTLOOK_TTL_MS = 2_000;

  // Not a record: entries are compared by identity, since the same request can be queued again
  // after a replica reported that it has not loaded the model.
  private static final class PendingRequest {
    final RequestContext context;
    final Consumer<RequestContext> next;
    final Span span;
    final long sinceMs;

    PendingRequest(RequestContext context, Consumer<RequestContext> next, Span span, long sinceMs) {
      this.context = context;
      this.next = next;
      this.span = span;
      this.sinceMs = sinceMs;
    }
  }

  private record ReceivedOutlook(ModelOutlook outlook, long receivedAtMs) {}

  private final class ModelQueue {
    final FairQueue<PendingRequest> requests = new FairQueue<>(capacity);
    long lastReportedMs = Long.MIN_VALUE / 2;
  }

  private final int capacity;
  private final ControlState controlState;
  private final ControlClient control;
  private final MonotonicClock clock;
  private final Executor executor;
  private final Traces traces;
  private final EntryMetrics metrics;
  private final Map<ArtifactName, ModelQueue> queues = new HashMap<>();
  private final Map<ArtifactName, ReceivedOutlook> outlooks = new HashMap<>();

  /**
   * Creates an empty queue.
   *
   * @param capacity maximum number of waiting requests, over all models
   * @param controlState state received from control
   * @param control receives reports on the models that requests wait for
   * @param env clock, executor, metrics and tracing
   */
  public ModelWaitQueue(
      int capacity, ControlState controlState, ControlClient control, RequestEnvironment env) {
    this.capacity = capacity;
    this.controlState = controlState;
    this.control = control;
    this.clock = env.clock();
    this.executor = env.executor();
    this.traces = env.traces();
    this.metrics = env.metrics();
    controlState.placement().onChange(this::releaseReady);
  }

  /**
   * Passes a completion request on once its model is ready, or fails it. Does not block.
   *
   * @param context the request
   * @param next passes the request on
   */
  public void awaitModel(RequestContext context, Consumer<RequestContext> next) {
    ArtifactName artifact = artifact(context);
    Optional<RequestError> error;
    synchronized (this) {
      if (!queues.containsKey(artifact)
          && !controlState.placement().readyEndpoints(artifact).isEmpty()) {
        error = Optional.empty();
      } else {
        error = outlookError(artifact, context).or(() -> enqueue(artifact, context, next));
        if (error.isEmpty()) {
          return;
        }
      }
    }
    error.ifPresentOrElse(context::fail, () -> next.accept(context));
  }

  /**
   * Records the outlook for a model, and fails the requests whose deadline it cannot meet.
   *
   * @param outlook the outlook sent by control
   */
  public void onOutlook(ModelOutlook outlook) {
    List<PendingRequest> tooLate = new ArrayList<>();
    synchronized (this) {
      outlooks.put(outlook.artifact(), new ReceivedOutlook(outlook, clock.nowMs()));
      ModelQueue queue = queues.get(outlook.artifact());
      if (queue != null) {
        queue.requests.forEach(
            pending -> {
              if (outlookError(outlook.artifact(), pending.context).isPresent()) {
                tooLate.add(pending);
              }
            });
        tooLate.forEach(queue.requests::remove);
      }
    }
    tooLate.forEach(pending -> fail(pending, toError(outlook)));
  }

  /** Fails expired requests and reports wanted models to control; called every {@link #TICK_MS}. */
  public void tick() {
    long now = clock.nowMs();
    List<PendingRequest> expired = new ArrayList<>();
    List<ModelWanted> wanted = new ArrayList<>();
    synchronized (this) {
      queues.forEach(
          (artifact, queue) -> {
            expired.addAll(queue.requests.expire(now));
            if (queue.requests.size() > 0 && now - queue.lastReportedMs >= REPORT_PERIOD_MS) {
              queue.lastReportedMs = now;
              wanted.add(wanted(artifact, queue, now));
            }
          });
      queues.values().removeIf(queue -> queue.requests.size() == 0);
      outlooks.values().removeIf(o -> now - o.receivedAtMs() > OUTLOOK_TTL_MS);
    }
    String message = "the model was not ready before the deadline";
    expired.forEach(
        pending -> fail(pending, RequestError.of(ErrorKind.DEADLINE_EXCEEDED, message)));
    wanted.forEach(control::reportModelWanted);
    releaseReady();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number of waiting requests
   */
  public synchronized int size() {
    return queues.values().stream().mapToInt(queue -> queue.requests.size()).sum();
  }

  private void releaseReady() {
    long now = clock.nowMs();
    List<PendingRequest> ready = new ArrayList<>();
    synchronized (this) {
      queues.forEach(
          (artifact, queue) -> {
            if (!controlState.placement().readyEndpoints(artifact).isEmpty()) {
              for (Optional<PendingRequest> pending;
                  (pending = queue.requests.poll(now)).isPresent(); ) {
                ready.add(pending.get());
              }
            }
          });
      queues.values().removeIf(queue -> queue.requests.size() == 0);
    }
    ready.forEach(pending -> executor.execute(() -> resume(pending)));
  }

  private Optional<RequestError> enqueue(
      ArtifactName artifact, RequestContext context, Consumer<RequestContext> next) {
    if (size() >= capacity) {
      return Optional.of(
          RequestError.of(ErrorKind.QUEUE_FULL, "too many requests wait for models"));
    }
    long now = clock.nowMs();
    Span span = traces.startChildSpan(context.span(), "wait for model", SpanKind.INTERNAL);
    PendingRequest pending = new PendingRequest(context, next, span, now);
    CustomerSpec customer = context.caller().orElseThrow().customer();
    long cost = Math.max(1, QuotaFilter.estimate(context.target().orElseThrow()));
    ModelQueue queue = queues.computeIfAbsent(artifact, a -> new ModelQueue());
    queue.requests.offer(
        new QueuedRequest<>(
            pending, customer.name(), customer.weight(), cost, context.deadlineMs()));
    // Reports the model immediately instead of with the next periodic tick.
    executor.execute(this::tick);
    context.reply().onDisconnect(() -> removeDisconnected(artifact, pending));
    return Optional.empty();
  }

  private void removeDisconnected(ArtifactName artifact, PendingRequest pending) {
    boolean removed;
    synchronized (this) {
      ModelQueue queue = queues.get(artifact);
      removed = queue != null && queue.requests.remove(pending);
    }
    if (removed) {
      endWait(pending);
      pending.context.reply().callerDisconnected();
    }
  }

  private void resume(PendingRequest pending) {
    endWait(pending);
    pending.next.accept(pending.context);
  }

  private void fail(PendingRequest pending, RequestError error) {
    endWait(pending);
    pending.context.fail(error);
  }

  private void endWait(PendingRequest pending) {
    pending.span.end();
    metrics.recordModelWait(clock.nowMs() - pending.sinceMs);
  }

  private static ModelWanted wanted(ArtifactName artifact, ModelQueue queue, long now) {
    QueuedRequest<PendingRequest> mostUrgent = queue.requests.mostUrgent().orElseThrow();
    long remainingMs = Math.max(0, mostUrgent.deadlineMs() - now);
    return new ModelWanted(artifact, mostUrgent.customer(), queue.requests.size(), remainingMs);
  }

  private Optional<RequestError> outlookError(ArtifactName artifact, RequestContext context) {
    ReceivedOutlook received = outlooks.get(artifact);
    if (received == null || clock.nowMs() - received.receivedAtMs() > OUTLOOK_TTL_MS) {
      return Optional.empty();
    }
    ModelOutlook outlook = received.outlook();
    long readyMs = received.receivedAtMs() + outlook.expectedReadyMs();
    boolean unsatisfiable = outlook.outlook() == Outlook.REFUSED || readyMs > context.deadlineMs();
    return unsatisfiable ? Optional.of(toError(outlook)) : Optional.empty();
  }

  private static RequestError toError(ModelOutlook outlook) {
    long retryMs = Math.max(1, outlook.expectedReadyMs());
    if (outlook.outlook() == Outlook.REFUSED) {
      String message = "the model cannot be loaded now: " + outlook.reason();
      return new RequestError(ErrorKind.LOAD_REFUSED, message, retryMs);
    }
    String message = "the model is expected to be ready in " + retryMs + " ms";
    return new RequestError(ErrorKind.DEADLINE_TOO_SHORT, message, retryMs);
  }

  private static ArtifactName artifact(RequestContext context) {
    return context
        .target()
        .orElseThrow()
        .fold(
            Target.Completion::artifact,
            s -> {
              throw new IllegalStateException("a service call does not wait for a model");
            },
            l -> {
              throw new IllegalStateException("a list of models does not wait for a model");
            });
  }
}
