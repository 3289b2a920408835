package io.kumquatspindle.bench.speed;

import io.kumquatspindle.bench.caller.ChatReply;
import io.kumquatspindle.bench.caller.ChatRequest;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Times of the requests to one target, from the moment that each was due. */
final class TargetResult {
  private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int DIGITS = 3;
  private static final double P50 = 50;
  private static final double P99 = 99;

  private final Histogram firstToken = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
  private final Histogram whole = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
  private final Histogram gap = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
  private final Histogram sendLag = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
  private final AtomicLong failed = new AtomicLong();
  private final Map<String, Long> failures = new ConcurrentSkipListMap<>();

  void add(long dueNanos, ChatRequest request, ChatReply reply) {
    if (!reply.answers(request)) {
      addFailure(reply.errorCode().orElse("wrong_answer"));
      return;
    }
    firstToken.recordValue(micros(reply.firstTokenNanos() - dueNanos));
    whole.recordValue(micros(reply.endNanos() - dueNanos));
    gap.recordValue(micros(reply.longestGapNanos()));
  }

  void addFailure(String reason) {
    failed.incrementAndGet();
    failures.merge(reason, 1L, Long::sum);
  }

  // The load tool hands requests over late when it is overloaded itself.
  void sent(long dueNanos) {
    sendLag.recordValue(micros(System.nanoTime() - dueNanos));
  }

  Summary summary(String target) {
    return new Summary(
        target,
        whole.getTotalCount(),
        failed.get(),
        new TreeMap<>(failures),
        times(firstToken),
        times(whole),
        times(gap),
        times(sendLag));
  }

  private static Times times(Histogram h) {
    return new Times(h.getValueAtPercentile(P50), h.getValueAtPercentile(P99), h.getMaxValue());
  }

  private static long micros(long nanos) {
    return Math.min(LONGEST_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  /**
   * Times in microseconds.
   *
   * @param p50 median
   * @param p99 99th percentile
   * @param max longest time
   */
  record Times(long p50, long p99, long max) {}

  /**
   * Results of one target.
   *
   * @param target its name
   * @param answered requests with the whole right answer
   * @param failed all other requests
   * @param failures failed requests by error code
   * @param firstTokenMicros time to the first token
   * @param wholeMicros time to the end of the answer
   * @param gapMicros longest time between two tokens of an answer
   * @param sendLagMicros time from the due moment until the load tool has handed the request over
   */
  record Summary(
      String target,
      long answered,
      long failed,
      Map<String, Long> failures,
      Times firstTokenMicros,
      Times wholeMicros,
      Times gapMicros,
      Times sendLagMicros) {}
}
