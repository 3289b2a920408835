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
import io.kumquatspindle.entry.control.Views;
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
public final class ModelWaitRoom {
  /** Period of {@link #tick} in milliseconds; a late refusal is late by at most this. */
  public static final long TICK_MS = 50;

  /** Time between two messages to control about the same model, in milliseconds. */
  static final long WANTED_PERIOD_MS = 500;

  // An outlook is renewed with each message to control; an older one no longer counts.
  private static final long OUTLOOK_VALID_MS = 2_000;

  // Compared by identity, since a request can wait again after a replica denied having the model.
  private static final class Waiter {
    final RequestContext context;
    final Consumer<RequestContext> next;
    final Span span;
    final long sinceMs;

    Waiter(RequestContext context, Consumer<RequestContext> next, Span span, long sinceMs) {
      this.context = context;
      this.next = next;
      this.span = span;
      this.sinceMs = sinceMs;
    }
  }

  private record DatedOutlook(ModelOutlook outlook, long atMs) {}

  private final class Line {
    final FairQueue<Waiter> queue = new FairQueue<>(capacity);
    long wantedAtMs = Long.MIN_VALUE / 2;
  }

  private final int capacity;
  private final Views views;
  private final ControlClient control;
  private final MonotonicClock clock;
  private final Executor executor;
  private final Traces traces;
  private final EntryMetrics metrics;
  private final Map<ArtifactName, Line> lines = new HashMap<>();
  private final Map<ArtifactName, DatedOutlook> outlooks = new HashMap<>();

  /**
   * Creates an empty room.
   *
   * @param capacity the most requests that wait at once, over all models
   * @param views state that control sends
   * @param control is told what is wanted
   * @param env clock, executor and observation
   */
  public ModelWaitRoom(int capacity, Views views, ControlClient control, RequestEnvironment env) {
    this.capacity = capacity;
    this.views = views;
    this.control = control;
    this.clock = env.clock();
    this.executor = env.executor();
    this.traces = env.traces();
    this.metrics = env.metrics();
    views.placement().onChange(this::release);
  }

  /**
   * Passes a completion on as soon as its model is ready, or refuses it.
   *
   * @param context the request
   * @param next passes it on
   */
  public void enter(RequestContext context, Consumer<RequestContext> next) {
    ArtifactName artifact = artifact(context);
    Optional<Refusal> refusal;
    synchronized (this) {
      if (!lines.containsKey(artifact) && !views.placement().ready(artifact).isEmpty()) {
        refusal = Optional.empty();
      } else {
        refusal = outlookRefusal(artifact, context).or(() -> offer(artifact, context, next));
        if (refusal.isEmpty()) {
          return;
        }
      }
    }
    refusal.ifPresentOrElse(context::refuse, () -> next.accept(context));
  }

  /**
   * Takes note of what becomes of a model, and refuses the requests that it makes hopeless.
   *
   * @param outlook what control says
   */
  public void outlook(ModelOutlook outlook) {
    List<Waiter> hopeless = new ArrayList<>();
    synchronized (this) {
      outlooks.put(outlook.artifact(), new DatedOutlook(outlook, clock.nowMs()));
      Line line = lines.get(outlook.artifact());
      if (line != null) {
        line.queue.forEach(
            w -> {
              if (outlookRefusal(outlook.artifact(), w.context).isPresent()) {
                hopeless.add(w);
              }
            });
        hopeless.forEach(line.queue::remove);
      }
    }
    hopeless.forEach(w -> refuse(w, refusal(outlook)));
  }

  /** Refuses expired requests and tells control what is wanted; call it each {@link #TICK_MS}. */
  public void tick() {
    long now = clock.nowMs();
    List<Waiter> expired = new ArrayList<>();
    List<ModelWanted> wanted = new ArrayList<>();
    synchronized (this) {
      lines.forEach(
          (artifact, line) -> {
            expired.addAll(line.queue.expire(now));
            if (line.queue.size() > 0 && now - line.wantedAtMs >= WANTED_PERIOD_MS) {
              line.wantedAtMs = now;
              wanted.add(wanted(artifact, line, now));
            }
          });
      lines.values().removeIf(l -> l.queue.size() == 0);
      outlooks.values().removeIf(o -> now - o.atMs() > OUTLOOK_VALID_MS);
    }
    String message = "the model was not ready before the deadline";
    expired.forEach(w -> refuse(w, Refusal.of(ErrorKind.DEADLINE_EXCEEDED, message)));
    wanted.forEach(control::wanted);
    release();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public synchronized int size() {
    return lines.values().stream().mapToInt(l -> l.queue.size()).sum();
  }

  private void release() {
    long now = clock.nowMs();
    List<Waiter> ready = new ArrayList<>();
    synchronized (this) {
      lines.forEach(
          (artifact, line) -> {
            if (!views.placement().ready(artifact).isEmpty()) {
              for (Optional<Waiter> w; (w = line.queue.poll(now)).isPresent(); ) {
                ready.add(w.get());
              }
            }
          });
      lines.values().removeIf(l -> l.queue.size() == 0);
    }
    ready.forEach(w -> executor.execute(() -> passOn(w)));
  }

  private Optional<Refusal> offer(
      ArtifactName artifact, RequestContext context, Consumer<RequestContext> next) {
    if (size() >= capacity) {
      return Optional.of(Refusal.of(ErrorKind.QUEUE_FULL, "too many requests wait for models"));
    }
    long now = clock.nowMs();
    Span span = traces.child(context.span(), "wait for model", SpanKind.INTERNAL);
    Waiter waiter = new Waiter(context, next, span, now);
    CustomerSpec customer = context.caller().orElseThrow().customer();
    long cost = Math.max(1, QuotaFilter.estimate(context.target().orElseThrow()));
    Line line = lines.computeIfAbsent(artifact, a -> new Line());
    line.queue.offer(
        new QueuedRequest<>(
            waiter, customer.name(), customer.weight(), cost, context.deadlineMs()));
    // The tick that sends the first message may be up to its period away.
    executor.execute(this::tick);
    context.reply().onGone(() -> leave(artifact, waiter));
    return Optional.empty();
  }

  private void leave(ArtifactName artifact, Waiter waiter) {
    boolean waited;
    synchronized (this) {
      Line line = lines.get(artifact);
      waited = line != null && line.queue.remove(waiter);
    }
    if (waited) {
      end(waiter);
      waiter.context.reply().callerLeft();
    }
  }

  private void passOn(Waiter waiter) {
    end(waiter);
    waiter.next.accept(waiter.context);
  }

  private void refuse(Waiter waiter, Refusal refusal) {
    end(waiter);
    waiter.context.refuse(refusal);
  }

  private void end(Waiter waiter) {
    waiter.span.end();
    metrics.waited(clock.nowMs() - waiter.sinceMs);
  }

  private static ModelWanted wanted(ArtifactName artifact, Line line, long now) {
    QueuedRequest<Waiter> urgent = line.queue.mostUrgent().orElseThrow();
    long left = Math.max(0, urgent.deadlineMs() - now);
    return new ModelWanted(artifact, urgent.customer(), line.queue.size(), left);
  }

  private Optional<Refusal> outlookRefusal(ArtifactName artifact, RequestContext context) {
    DatedOutlook dated = outlooks.get(artifact);
    if (dated == null || clock.nowMs() - dated.atMs() > OUTLOOK_VALID_MS) {
      return Optional.empty();
    }
    ModelOutlook outlook = dated.outlook();
    long readyMs = dated.atMs() + outlook.expectedReadyMs();
    boolean hopeless = outlook.outlook() == Outlook.REFUSED || readyMs > context.deadlineMs();
    return hopeless ? Optional.of(refusal(outlook)) : Optional.empty();
  }

  private static Refusal refusal(ModelOutlook outlook) {
    long retryMs = Math.max(1, outlook.expectedReadyMs());
    if (outlook.outlook() == Outlook.REFUSED) {
      String message = "the model cannot be loaded now: " + outlook.reason();
      return new Refusal(ErrorKind.LOAD_REFUSED, message, retryMs);
    }
    String message = "the model is expected to be ready in " + retryMs + " ms";
    return new Refusal(ErrorKind.DEADLINE_TOO_SHORT, message, retryMs);
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
