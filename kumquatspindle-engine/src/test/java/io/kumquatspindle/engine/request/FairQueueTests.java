package io.kumquatspindle.engine.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.engine.request.FairQueue.QueuedRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("FairQueue")
class FairQueueTests {
  private static final CustomerName LARGE = CustomerName.of("large");
  private static final CustomerName SMALL = CustomerName.of("small");

  private static QueuedRequest<Integer> waiting(int id, CustomerName c, int weight, long deadline) {
    return new QueuedRequest<>(id, c, weight, 256, deadline);
  }

  @Test
  @DisplayName("polls the earliest deadline of a customer first")
  void ordersByDeadline() {
    FairQueue<Integer> q = new FairQueue<>(10);
    q.offer(waiting(1, LARGE, 1, 300));
    q.offer(waiting(2, LARGE, 1, 100));
    q.offer(waiting(3, LARGE, 1, 200));
    assertEquals(100, q.earliestDeadlineMs().orElseThrow());
    assertEquals(List.of(2, 3, 1), List.of(next(q), next(q), next(q)));
    assertEquals(Optional.empty(), q.poll(0));
  }

  private static int next(FairQueue<Integer> q) {
    return q.poll(0).orElseThrow();
  }

  @Property(tries = 100)
  @DisplayName(
      "shares polls by weight, so that a customer with many requests cannot starve another")
  void sharesByWeight(@ForAll @IntRange(min = 1, max = 5) int weight) {
    FairQueue<Integer> q = new FairQueue<>(1_000);
    for (int i = 0; i < 500; i++) {
      q.offer(waiting(i, LARGE, 1, 1_000));
    }
    for (int i = 500; i < 700; i++) {
      q.offer(waiting(i, SMALL, weight, 9_000));
    }
    int small = 0;
    for (int i = 0; i < 20 * (weight + 1); i++) {
      small += next(q) >= 500 ? 1 : 0;
    }
    assertTrue(Math.abs(small - 20 * weight) <= weight, "served " + small);
  }

  @Property(tries = 200)
  @DisplayName("returns each request exactly once, by poll, expire or remove")
  void returnsEachRequestOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int count) {
    Random random = new Random(seed);
    FairQueue<Integer> q = new FairQueue<>(count);
    for (int i = 0; i < count; i++) {
      CustomerName c = CustomerName.of("c" + random.nextInt(4));
      long cost = 1 + random.nextInt(100_000);
      assertTrue(
          q.offer(new QueuedRequest<>(i, c, 1 + random.nextInt(3), cost, random.nextInt(100))));
    }
    assertFalse(q.offer(waiting(count, LARGE, 1, 50)));
    List<Integer> out = new ArrayList<>();
    for (int now = 0; now <= 100; now += 10) {
      q.poll(now).ifPresent(out::add);
      int gone = random.nextInt(count);
      if (q.remove(gone)) {
        out.add(gone);
      }
      if (random.nextBoolean()) {
        out.addAll(q.expire(now));
      }
    }
    out.addAll(q.expire(100));
    Collections.sort(out);
    assertEquals(java.util.stream.IntStream.range(0, count).boxed().toList(), out);
    assertEquals(0, q.size());
  }

  @Test
  @DisplayName("poll never returns a request whose deadline has passed, but keeps it for expire")
  void keepsLateRequestsForExpire() {
    FairQueue<Integer> q = new FairQueue<>(10);
    q.offer(waiting(1, LARGE, 1, 100));
    q.offer(waiting(2, SMALL, 1, 200));
    assertEquals(Optional.of(2), q.poll(100));
    assertEquals(List.of(1), q.expire(100));
  }

  @Test
  @DisplayName("polls a request of very high cost without iterating over all rounds")
  void servesHugeCost() {
    FairQueue<Integer> q = new FairQueue<>(10);
    q.offer(new QueuedRequest<>(1, LARGE, 1, Long.MAX_VALUE / 4, 10));
    q.offer(new QueuedRequest<>(2, SMALL, 1, 100_000, 10));
    assertEquals(Optional.of(2), q.poll(0));
    assertEquals(Optional.of(1), q.poll(0));
  }
}
