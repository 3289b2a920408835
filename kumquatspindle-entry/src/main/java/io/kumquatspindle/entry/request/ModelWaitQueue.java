package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.Outlook;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.request.FairQueue;
import io.kumquatspindle.engine.request.FairQueue.Waiting;
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
 * Where requests wait for a model that has no ready replica. Each one leaves by being passed on, by
 * a refusal, or because its caller left.
 */
public final class ModelWaitQueue {
  /** Period of {@link #tick} in milliseconds; a late refusal is late by at most this. */
  public static final long TICK_MS = 50;

  /** Time between two messages to control about the same model, in milliseconds. */
  static final long REPORT_PERIOD_MS = 500;

  // An outlook is renewed with each message to control; an older one no longer counts.
  private static final long OUTLOOK_TTL_MS = 2_000;

  // Compared by identity, since a request can wait again after a replica denied having the model.
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
   * Creates an empty room.
   *
   * @param capacity the most requests that wait at once, over all models
   * @param controlState state that control sends
   * @param control is told what is wanted
   * @param env clock, executor and observation
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
   * Passes a completion on as soon as its model is ready, or refuses it.
   *
   * @param context the request
   * @param next passes it on
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
   * Takes note of what becomes of a model, and refuses the requests that it makes hopeless.
   *
   * @param outlook what control says
   */
  public void onOutlook(ModelOutlook outlook) {
    List<PendingRequest> tooLate = new ArrayList<>();
    synchronized (this) {
      outlooks.put(outlook.artifact(), new ReceivedOutlook(outlook, clock.nowMs()));
      ModelQueue queue = queues.get(outlook.artifact());
      if (queue != null) {
        queue.requests.forEach(
            w -> {
              if (outlookError(outlook.artifact(), w.context).isPresent()) {
                tooLate.add(w);
              }
            });
        tooLate.forEach(queue.requests::remove);
      }
    }
    tooLate.forEach(w -> fail(w, toError(outlook)));
  }

  /** Refuses expired requests and tells control what is wanted; call it each {@link #TICK_MS}. */
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
      queues.values().removeIf(l -> l.requests.size() == 0);
      outlooks.values().removeIf(o -> now - o.receivedAtMs() > OUTLOOK_TTL_MS);
    }
    String message = "the model was not ready before the deadline";
    expired.forEach(w -> fail(w, RequestError.of(ErrorKind.DEADLINE_EXCEEDED, message)));
    wanted.forEach(control::reportModelWanted);
    releaseReady();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public synchronized int size() {
    return queues.values().stream().mapToInt(l -> l.requests.size()).sum();
  }

  private void releaseReady() {
    long now = clock.nowMs();
    List<PendingRequest> ready = new ArrayList<>();
    synchronized (this) {
      queues.forEach(
          (artifact, queue) -> {
            if (!controlState.placement().readyEndpoints(artifact).isEmpty()) {
              for (Optional<PendingRequest> w; (w = queue.requests.poll(now)).isPresent(); ) {
                ready.add(w.get());
              }
            }
          });
      queues.values().removeIf(l -> l.requests.size() == 0);
    }
    ready.forEach(w -> executor.execute(() -> resume(w)));
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
        new Waiting<>(pending, customer.name(), customer.weight(), cost, context.deadlineMs()));
    // The tick that sends the first message may be up to its period away.
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
    Waiting<PendingRequest> urgent = queue.requests.mostUrgent().orElseThrow();
    long left = Math.max(0, urgent.deadlineMs() - now);
    return new ModelWanted(artifact, urgent.customer(), queue.requests.size(), left);
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
