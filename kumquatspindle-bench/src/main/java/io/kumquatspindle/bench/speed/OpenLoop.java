package io.kumquatspindle.bench.speed;

import io.kumquatspindle.bench.caller.Caller;
import io.kumquatspindle.bench.caller.ChatReply;
import io.kumquatspindle.bench.caller.ChatRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests to several targets in turn, at times that do not depend on the answers.
 *
 * <p>Each time is counted from the moment that the request was due, not from when it was sent, so
 * that a stall of a target or of the load tool itself shows in the times of all requests that were
 * due during the stall (no coordinated omission).
 */
final class OpenLoop {
  private static final Duration ANSWER_TIMEOUT = Duration.ofMinutes(1);

  private final Caller caller;
  private final ChatRequest request;

  OpenLoop(Caller caller, ChatRequest request) {
    this.caller = caller;
    this.request = request;
  }

  /** Runs for a while at a number of requests a second for each target. */
  List<TargetResult.Summary> run(List<Target> targets, int perSecond, Duration time) {
    List<TargetResult> results = new ArrayList<>();
    targets.forEach(t -> results.add(new TargetResult()));
    double spacing = (double) TimeUnit.SECONDS.toNanos(1) / perSecond / targets.size();
    long slots = (long) (time.toNanos() / spacing);
    List<CompletableFuture<Void>> open = new ArrayList<>();
    long start = System.nanoTime();
    for (long i = 0; i < slots; i++) {
      int n = (int) (i % targets.size());
      long due = start + (long) (i * spacing);
      sleepUntil(due);
      open.add(send(targets.get(n), results.get(n), due));
    }
    CompletableFuture.allOf(open.toArray(new CompletableFuture<?>[0]))
        .orTimeout(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
    List<TargetResult.Summary> summaries = new ArrayList<>();
    for (int n = 0; n < targets.size(); n++) {
      summaries.add(results.get(n).summary(targets.get(n).name()));
    }
    return summaries;
  }

  private CompletableFuture<Void> send(Target t, TargetResult result, long due) {
    CompletableFuture<ChatReply> sent = caller.sendAsync(t.base(), t.key(), request);
    result.sent(due);
    return sent.handle(
        (reply, e) -> {
          if (e == null) {
            result.add(due, request, reply);
          } else {
            result.addFailure(String.valueOf(e.getMessage()));
          }
          return null;
        });
  }

  private static void sleepUntil(long due) {
    for (long rest = due - System.nanoTime(); rest > 0; rest = due - System.nanoTime()) {
      LockSupport.parkNanos(rest);
    }
  }
}
