package io.kumquatspindle.bench.speed;

import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.client.ChatReply;
import io.kumquatspindle.bench.client.ChatRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load generator. Sends requests to several targets round-robin, at times that do not
 * depend on the responses.
 *
 * <p>Latencies are measured from the scheduled send time instead of the actual one. A stall of a
 * target or of the load generator itself therefore shows in the latency of every request that was
 * scheduled during the stall, which avoids coordinated omission.
 */
final class OpenLoop {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMinutes(1);

  private final ChatClient client;
  private final ChatRequest request;

  OpenLoop(ChatClient client, ChatRequest request) {
    this.client = client;
    this.request = request;
  }

  /** Runs for the given time at the given number of requests per second for each target. */
  List<TargetResult.Summary> run(List<Target> targets, int perSecond, Duration duration) {
    List<TargetResult> results = new ArrayList<>();
    targets.forEach(t -> results.add(new TargetResult()));
    double intervalNanos = (double) TimeUnit.SECONDS.toNanos(1) / perSecond / targets.size();
    long requestCount = (long) (duration.toNanos() / intervalNanos);
    List<CompletableFuture<Void>> pending = new ArrayList<>();
    long start = System.nanoTime();
    for (long i = 0; i < requestCount; i++) {
      int targetIndex = (int) (i % targets.size());
      long dueNanos = start + (long) (i * intervalNanos);
      sleepUntil(dueNanos);
      pending.add(send(targets.get(targetIndex), results.get(targetIndex), dueNanos));
    }
    CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
        .orTimeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
    List<TargetResult.Summary> summaries = new ArrayList<>();
    for (int targetIndex = 0; targetIndex < targets.size(); targetIndex++) {
      summaries.add(results.get(targetIndex).summary(targets.get(targetIndex).name()));
    }
    return summaries;
  }

  private CompletableFuture<Void> send(Target t, TargetResult result, long dueNanos) {
    CompletableFuture<ChatReply> sent = client.sendAsync(t.base(), t.key(), request);
    result.recordSendLag(dueNanos);
    return sent.handle(
        (reply, e) -> {
          if (e == null) {
            result.recordReply(dueNanos, request, reply);
          } else {
            result.recordFailure(String.valueOf(e.getMessage()));
          }
          return null;
        });
  }

  private static void sleepUntil(long dueNanos) {
    for (long remaining = dueNanos - System.nanoTime();
        remaining > 0;
        remaining = dueNanos - System.nanoTime()) {
      LockSupport.parkNanos(remaining);
    }
  }
}
