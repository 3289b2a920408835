package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Rate of a customer across all VMs")
class DistributedTokenBucketTests {
  private static final double RATE = 45_000;
  private static final double BURST = 45_000;
  private static final double COST = 900;
  private static final int VMS = 8;
  private static final long DIGEST_MS = 200;
  private static final long WINDOW_MS = 8_000;

  @Test
  @DisplayName(
      "is enforced at seven times the rate, up to the requests admitted between two digests")
  void highRate() {
    double max = maxInWindow(true);

    // The tolerance that the users specify: 10 %, plus 72,000 tokens.
    assertTrue(max <= (RATE * 8 + BURST) * 1.1 + 72_000, "maximum in a window: " + max);
    // The customer receives nearly its full allowance.
    assertTrue(max >= RATE * 8, "maximum in a window: " + max);
  }

  @Test
  @DisplayName("is enforced by equal shares while the VMs cannot reach each other")
  void disconnected() {
    double max = maxInWindow(false);

    assertTrue(max <= (RATE * 8 + BURST) * 1.1 + 72_000, "maximum in a window: " + max);
  }

  @Test
  @DisplayName("admits all requests of a customer at half its rate")
  void insideRate() {
    DistributedTokenBucket q = new DistributedTokenBucket(RATE, BURST, 0);
    int refused = 0;
    for (long now = 0; now < 20_000; now += 40) {
      refused += q.tryConsume(COST, 1, now) ? 0 : 1;
    }

    assertEquals(0, refused);
  }

  @Test
  @DisplayName("is refunded for a request that did not run")
  void refund() {
    DistributedTokenBucket q = new DistributedTokenBucket(0.001, 1_000, 0);

    assertTrue(q.tryConsume(1_000, 1, 0));
    assertFalse(q.tryConsume(1_000, 1, 1));
    q.refund(1_000);
    assertTrue(q.tryConsume(1_000, 1, 2));
  }

  /** Simulates a customer that sends seven times its rate to all VMs, with random bursts. */
  private static double maxInWindow(boolean connected) {
    Random random = new Random(11);
    List<DistributedTokenBucket> vms = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      vms.add(new DistributedTokenBucket(RATE, BURST, 0));
    }
    double share = connected ? 1 : 1.0 / VMS;
    List<Long> times = new ArrayList<>();
    double perMs = 7 * RATE / COST / 1_000;
    for (long now = 0; now < 30_000; now++) {
      if (connected && now % DIGEST_MS == 0) {
        exchange(vms, now);
      }
      double expected = perMs;
      while (random.nextDouble() < expected) {
        expected -= 1;
        if (vms.get(random.nextInt(VMS)).tryConsume(COST, share, now)) {
          times.add(now);
        }
      }
    }
    int max = 0;
    int from = 0;
    for (int to = 0; to < times.size(); to++) {
      while (times.get(to) - times.get(from) > WINDOW_MS) {
        from++;
      }
      max = Math.max(max, to - from + 1);
    }
    return max * COST;
  }

  private static void exchange(List<DistributedTokenBucket> vms, long now) {
    for (int i = 0; i < VMS; i++) {
      for (int j = 0; j < VMS; j++) {
        if (i != j) {
          vms.get(i).recordPeerConsumption("vm-" + j, vms.get(j).consumed(), now);
        }
      }
    }
  }
}
