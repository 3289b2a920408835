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
import io.kumquatspindle.engine.request.IntentFold;
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
 * Records idempotency keys in the log before calls are sent. Owns the fold of the intents stream.
 *
 * <p>Records that arrive while an append is under way share the next append, so the number of
 * appends a second does not grow with the calls.
 */
public final class IntentController implements StreamListener, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 1024;
  private static final int MAX_GROUP = 200;
  private static final int MAX_QUEUE = 10_000;
  private static final long ANSWER_LIMIT_MS = 3_000;
  private static final long RETRY_MS = 200;

  private final VmId vm;
  private final IntentFold fold;
  private final LogAppender appender;
  private final MonotonicClock clock;
  private final EventWorker<IntentEvent> duty;
  private final Map<String, PendingIntent> pending = new HashMap<>();
  private final List<IntentRecord> queue = new ArrayList<>();
  private boolean appending;
  private long retryAtMs = Long.MIN_VALUE;
  private volatile long nextOffset;

  /**
   * Creates a controller and starts its thread.
   *
   * @param vm this VM
   * @param fold the fold, not used by anyone else
   * @param appender appends to the intents stream
   * @param clock the monotonic clock
   */
  public IntentController(VmId vm, IntentFold fold, LogAppender appender, MonotonicClock clock) {
    this.vm = vm;
    this.fold = fold;
    this.appender = appender;
    this.clock = clock;
    this.duty =
        EventWorker.<IntentEvent>builder("intents", this::handle).capacity(RING_CAPACITY).start();
  }

  /**
   * Records a key.
   *
   * @param request the request of an entry program
   * @param reply takes the answer, on the controller's thread
   */
  public void request(IntentRequest request, Consumer<IntentReply> reply) {
    if (!duty.offer(new IntentEvent.Requested(request, reply))) {
      reply.accept(unavailable(request));
    }
  }

  /**
   * Records the outcome of a call.
   *
   * @param outcome the outcome
   */
  public void finished(IntentOutcome outcome) {
    duty.offer(new IntentEvent.Finished(outcome));
  }

  /** Lets time pass. */
  public void tick() {
    duty.offer(new IntentEvent.Tick());
  }

  @Override
  public boolean read(ReadResult.Batch batch, long askedAtMs) {
    return duty.offer(new IntentEvent.Stream(new StreamEvent.LogRead(batch, askedAtMs)));
  }

  @Override
  public void unavailable(String reason) {
    duty.offer(new IntentEvent.Stream(new StreamEvent.LogUnavailable(reason)));
  }

  @Override
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public void close() {
    duty.close();
  }

  private void handle(IntentEvent event) {
    if (event instanceof IntentEvent.Stream s) {
      stream(s.event());
    } else if (event instanceof IntentEvent.Requested r) {
      requested(r);
    } else if (event instanceof IntentEvent.Finished f) {
      IntentOutcome o = f.outcome();
      queue.add(new IntentFinished(o.customer(), o.key(), o.nonce(), o.ran(), o.status()));
    } else if (event instanceof IntentEvent.Appended a) {
      appended(a);
    } else if (event instanceof IntentEvent.Tick) {
      expire();
    }
    appendNext();
  }

  private void requested(IntentEvent.Requested r) {
    IntentRequest q = r.request();
    String nonce = UUID.randomUUID().toString();
    PendingIntent p = new PendingIntent(nonce, q, clock.nowMs() + ANSWER_LIMIT_MS, r.reply());
    // A key that is already held needs no record; the answer is the same at every VM.
    Optional<IntentFold.AttemptResult> held = answer(p);
    if (held.isPresent() && held.get().ran() != ExecutionStatus.UNKNOWN) {
      reply(p, held.get());
      return;
    }
    if (clock.nowMs() < retryAtMs || queue.size() >= MAX_QUEUE) {
      r.reply().accept(unavailable(q));
      return;
    }
    pending.put(nonce, p);
    queue.add(new IntentRecorded(q.customer(), q.key(), q.requestDigest(), vm, nonce));
  }

  private void stream(StreamEvent event) {
    if (!(event instanceof StreamEvent.LogRead read)) {
      return;
    }
    fold.skipTo(read.batch().earliest());
    for (LogRecord r : read.batch().records()) {
      if (r.offset() == fold.nextOffset()) {
        apply(r);
      }
    }
    nextOffset = fold.nextOffset();
  }

  private void apply(LogRecord r) {
    try {
      IntentRecord record = Json.decode(r.value(), IntentRecord.class);
      fold.apply(r.offset(), r.timeMs(), record);
      answerAll(record);
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("intent at offset %d cannot be read", r.offset());
      fold.skipTo(r.offset() + 1);
    }
  }

  private void answerAll(IntentRecord record) {
    if (record instanceof IntentRecord.Group g) {
      g.records().forEach(this::answerAll);
    } else if (record instanceof IntentRecorded i) {
      PendingIntent p = pending.remove(i.nonce());
      if (p != null) {
        Optional<IntentFold.AttemptResult> a = answer(p);
        a.ifPresentOrElse(x -> reply(p, x), () -> p.reply().accept(unavailable(p.request())));
      }
    }
  }

  private Optional<IntentFold.AttemptResult> answer(PendingIntent p) {
    IntentRequest q = p.request();
    return fold.attemptResult(q.customer(), q.key(), p.nonce(), q.requestDigest());
  }

  private static void reply(PendingIntent p, IntentFold.AttemptResult a) {
    p.reply()
        .accept(new IntentReply(p.request().id(), a.verdict(), p.nonce(), a.ran(), a.status()));
  }

  private void appended(IntentEvent.Appended a) {
    appending = false;
    if (!(a.result() instanceof AppendResult.NotAppended)) {
      return;
    }
    retryAtMs = clock.nowMs() + RETRY_MS;
    for (IntentRecord r : a.group()) {
      if (r instanceof IntentRecorded i) {
        giveUp(i.nonce());
      } else if (queue.size() < MAX_QUEUE) {
        queue.add(r);
      }
    }
  }

  private void expire() {
    long now = clock.nowMs();
    List<String> late = new ArrayList<>();
    pending.values().stream().filter(p -> p.deadlineMs() <= now).forEach(p -> late.add(p.nonce()));
    for (String nonce : late) {
      PendingIntent p = pending.get(nonce);
      giveUp(nonce);
      // The record may still arrive; this frees the key for a repeat by the caller.
      IntentRequest q = p.request();
      queue.add(new IntentFinished(q.customer(), q.key(), nonce, ExecutionStatus.NOT_RUN, 0));
    }
  }

  private void giveUp(String nonce) {
    PendingIntent p = pending.remove(nonce);
    if (p != null) {
      p.reply().accept(unavailable(p.request()));
    }
  }

  private void appendNext() {
    if (appending || queue.isEmpty() || clock.nowMs() < retryAtMs) {
      return;
    }
    List<IntentRecord> group = new ArrayList<>(queue.subList(0, Math.min(MAX_GROUP, queue.size())));
    queue.subList(0, group.size()).clear();
    appending = true;
    appender.append(
        Json.encode(new IntentRecord.Group(group)),
        result -> duty.offer(new IntentEvent.Appended(group, result)));
  }

  private static IntentReply unavailable(IntentRequest request) {
    return new IntentReply(request.id(), IntentVerdict.UNAVAILABLE, "", ExecutionStatus.NOT_RUN, 0);
  }
}
