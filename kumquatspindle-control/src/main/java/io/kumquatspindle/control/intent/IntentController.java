package io.kumquatspindle.control.intent;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentRequest;
import io.kumquatspindle.api.message.EntryMessage.IntentVerdict;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.record.IntentRecord;
import io.kumquatspindle.api.record.IntentRecord.IntentFinished;
import io.kumquatspindle.api.record.IntentRecord.IntentRecorded;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.log.LogAppender;
import io.kumquatspindle.control.log.StreamListener;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.engine.request.IntentStateMachine;
import io.kumquatspindle.transport.worker.EventWorker;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Records idempotency keys in the log before calls are sent, and owns the state of the intents
 * stream.
 *
 * <p>Records that are queued while an append is in progress are batched into the next append, so
 * that the append rate does not grow with the call rate.
 */
public final class IntentController implements StreamListener, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 1024;
  private static final int MAX_GROUP_SIZE = 200;
  private static final int MAX_QUEUE_SIZE = 10_000;
  private static final long REPLY_TIMEOUT_MS = 3_000;
  private static final long APPEND_RETRY_DELAY_MS = 200;

  private final VmId vm;
  private final IntentStateMachine stateMachine;
  private final LogAppender appender;
  private final MonotonicClock clock;
  private final EventWorker<IntentEvent> worker;
  private final Map<String, PendingIntent> pending = new HashMap<>();
  private final List<IntentRecord> queue = new ArrayList<>();
  private boolean appending;
  private long retryAtMs = Long.MIN_VALUE;
  private volatile long nextOffset;

  /**
   * Creates a controller and starts its thread.
   *
   * @param vm this VM
   * @param stateMachine the state of the intents stream; must not be used elsewhere
   * @param appender appends to the intents stream
   * @param clock the monotonic clock
   */
  public IntentController(
      VmId vm, IntentStateMachine stateMachine, LogAppender appender, MonotonicClock clock) {
    this.vm = vm;
    this.stateMachine = stateMachine;
    this.appender = appender;
    this.clock = clock;
    this.worker =
        EventWorker.<IntentEvent>builder("intents", this::handle).capacity(RING_CAPACITY).start();
  }

  /**
   * Records an idempotency key.
   *
   * @param request the request of an entry program
   * @param reply receives the reply, on the controller's thread, or on the calling thread if the
   *     queue is full
   */
  public void request(IntentRequest request, Consumer<IntentReply> reply) {
    if (!worker.offer(new IntentEvent.IntentRequested(request, reply))) {
      reply.accept(unavailableReply(request));
    }
  }

  /**
   * Records the outcome of a call.
   *
   * @param outcome the outcome
   */
  public void callFinished(IntentOutcome outcome) {
    worker.offer(new IntentEvent.CallFinished(outcome));
  }

  /** Performs the work that is due at the current time. */
  public void tick() {
    worker.offer(new IntentEvent.Tick());
  }

  @Override
  public boolean onBatch(ReadResult.Batch batch, long requestedAtMs) {
    return worker.offer(new IntentEvent.Stream(new StreamEvent.LogRead(batch, requestedAtMs)));
  }

  @Override
  public void onUnavailable(String reason) {
    worker.offer(new IntentEvent.Stream(new StreamEvent.LogUnavailable(reason)));
  }

  @Override
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public void close() {
    worker.close();
  }

  private void handle(IntentEvent event) {
    if (event instanceof IntentEvent.Stream s) {
      handleStreamEvent(s.event());
    } else if (event instanceof IntentEvent.IntentRequested r) {
      handleRequest(r);
    } else if (event instanceof IntentEvent.CallFinished f) {
      IntentOutcome o = f.outcome();
      queue.add(new IntentFinished(o.customer(), o.key(), o.nonce(), o.ran(), o.status()));
    } else if (event instanceof IntentEvent.AppendFinished a) {
      handleAppendResult(a);
    } else if (event instanceof IntentEvent.Tick) {
      expirePending();
    }
    appendNext();
  }

  private void handleRequest(IntentEvent.IntentRequested r) {
    IntentRequest request = r.request();
    String nonce = UUID.randomUUID().toString();
    PendingIntent p =
        new PendingIntent(nonce, request, clock.nowMs() + REPLY_TIMEOUT_MS, r.reply());
    // An attempt on a recorded key needs no record of its own if the outcome is known or the
    // request differs: the reply is the same at every VM.
    Optional<IntentStateMachine.AttemptResult> existing = lookUp(p);
    if (existing.isPresent() && existing.get().ran() != ExecutionStatus.UNKNOWN) {
      sendReply(p, existing.get());
      return;
    }
    if (clock.nowMs() < retryAtMs || queue.size() >= MAX_QUEUE_SIZE) {
      r.reply().accept(unavailableReply(request));
      return;
    }
    pending.put(nonce, p);
    queue.add(
        new IntentRecorded(request.customer(), request.key(), request.requestDigest(), vm, nonce));
  }

  private void handleStreamEvent(StreamEvent event) {
    if (!(event instanceof StreamEvent.LogRead read)) {
      return;
    }
    stateMachine.skipTo(read.batch().earliest());
    for (LogRecord r : read.batch().records()) {
      if (r.offset() == stateMachine.nextOffset()) {
        apply(r);
      }
    }
    nextOffset = stateMachine.nextOffset();
  }

  private void apply(LogRecord r) {
    try {
      IntentRecord record = Json.decode(r.value(), IntentRecord.class);
      stateMachine.apply(r.offset(), r.timeMs(), record);
      replyToPending(record);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log(
          "cannot decode intent record at offset %d, skipping it", r.offset());
      stateMachine.skipTo(r.offset() + 1);
    }
  }

  private void replyToPending(IntentRecord record) {
    if (record instanceof IntentRecord.Group g) {
      g.records().forEach(this::replyToPending);
    } else if (record instanceof IntentRecorded i) {
      PendingIntent p = pending.remove(i.nonce());
      if (p != null) {
        Optional<IntentStateMachine.AttemptResult> a = lookUp(p);
        a.ifPresentOrElse(
            x -> sendReply(p, x), () -> p.reply().accept(unavailableReply(p.request())));
      }
    }
  }

  private Optional<IntentStateMachine.AttemptResult> lookUp(PendingIntent p) {
    IntentRequest request = p.request();
    return stateMachine.attemptResult(
        request.customer(), request.key(), p.nonce(), request.requestDigest());
  }

  private static void sendReply(PendingIntent p, IntentStateMachine.AttemptResult a) {
    p.reply()
        .accept(new IntentReply(p.request().id(), a.verdict(), p.nonce(), a.ran(), a.status()));
  }

  private void handleAppendResult(IntentEvent.AppendFinished a) {
    appending = false;
    if (!(a.result() instanceof AppendResult.NotAppended)) {
      return;
    }
    retryAtMs = clock.nowMs() + APPEND_RETRY_DELAY_MS;
    for (IntentRecord r : a.group()) {
      if (r instanceof IntentRecorded i) {
        replyUnavailable(i.nonce());
      } else if (queue.size() < MAX_QUEUE_SIZE) {
        queue.add(r);
      }
    }
  }

  private void expirePending() {
    long now = clock.nowMs();
    List<String> expired = new ArrayList<>();
    pending.values().stream()
        .filter(p -> p.deadlineMs() <= now)
        .forEach(p -> expired.add(p.nonce()));
    for (String nonce : expired) {
      PendingIntent p = pending.get(nonce);
      replyUnavailable(nonce);
      // The record may still be appended. Marking the attempt as not run lets the caller use the
      // key again.
      IntentRequest request = p.request();
      queue.add(
          new IntentFinished(request.customer(), request.key(), nonce, ExecutionStatus.NOT_RUN, 0));
    }
  }

  private void replyUnavailable(String nonce) {
    PendingIntent p = pending.remove(nonce);
    if (p != null) {
      p.reply().accept(unavailableReply(p.request()));
    }
  }

  private void appendNext() {
    if (appending || queue.isEmpty() || clock.nowMs() < retryAtMs) {
      return;
    }
    List<IntentRecord> group =
        new ArrayList<>(queue.subList(0, Math.min(MAX_GROUP_SIZE, queue.size())));
    queue.subList(0, group.size()).clear();
    appending = true;
    appender.append(
        Json.encode(new IntentRecord.Group(group)),
        result -> worker.offer(new IntentEvent.AppendFinished(group, result)));
  }

  private static IntentReply unavailableReply(IntentRequest request) {
    return new IntentReply(request.id(), IntentVerdict.UNAVAILABLE, "", ExecutionStatus.NOT_RUN, 0);
  }
}
