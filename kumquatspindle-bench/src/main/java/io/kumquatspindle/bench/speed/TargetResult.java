package io.kumquatspindle.bench.speed;

import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Latencies of the requests to one target, measured from their scheduled send times. */
final class TargetResult {
  private static final long MAX_TRACKABLE_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double P50 = 50;
  private static final double P99 = 99;

  private final Histogram firstToken =
      new ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram fullResponse =
      new ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram longestGap =
      new ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram sendLag =
      new ConcurrentHistogram(MAX_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
  private final AtomicLong failed = new AtomicLong();
  private final Map<String, Long> failures = new ConcurrentSkipListMap<>();

  void recordReply(long dueNanos, ChatRequest request, ChatReply reply) {
    if (!reply.isCompleteResponseTo(request)) {
      recordFailure(reply.errorCode().orElse("wrong_answer"));
      return;
    }
    firstToken.recordValue(micros(reply.firstTokenNanos() - dueNanos));
    fullResponse.recordValue(micros(reply.endNanos() - dueNanos));
    longestGap.recordValue(micros(reply.longestGapNanos()));
  }

  void recordFailure(String reason) {
    failed.incrementAndGet();
    failures.merge(reason, 1L, Long::sum);
  }

  // The send lag shows whether the load generator itself is overloaded.
  void recordSendLag(long dueNanos) {
    sendLag.recordValue(micros(System.nanoTime() - dueNanos));
  }

  Summary summary(String target) {
    return new Summary(
        target,
        fullResponse.getTotalCount(),
        failed.get(),
        new TreeMap<>(failures),
        times(firstToken),
        times(fullResponse),
        times(longestGap),
        times(sendLag));
  }

  private static Times times(Histogram h) {
    return new Times(h.getValueAtPercentile(P50), h.getValueAtPercentile(P99), h.getMaxValue());
  }

  private static long micros(long nanos) {
    return Math.min(MAX_TRACKABLE_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  /**
   * Latency percentiles, in microseconds.
   *
   * @param p50 the median
   * @param p99 the 99th percentile
   * @param max the maximum
   */
  record Times(long p50, long p99, long max) {}

  /**
   * Result of one target.
   *
   * @param target the name of the target
   * @param answered the number of requests with a complete and correct response
   * @param failed the number of all other requests
   * @param failures the number of failed requests by error code
   * @param firstTokenMicros the time to the first token
   * @param wholeMicros the time to the end of the response
   * @param gapMicros the longest time between two tokens of a response
   * @param sendLagMicros the time from the scheduled send time until the load generator has passed
   *     the request to the HTTP client
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
