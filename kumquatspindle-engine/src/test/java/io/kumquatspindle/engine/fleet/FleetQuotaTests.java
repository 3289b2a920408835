package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Rate of a customer over all VMs")
class FleetQuotaTests {
  private static final double RATE = 45_000;
  private static final double BURST = 45_000;
  private static final double COST = 900;
  private static final int VMS = 8;
  private static final long DIGEST_MS = 200;
  private static final long WINDOW_MS = 8_000;

  @Test
  @DisplayName("is kept, within what passes between two digests, at seven times the rate")
  void hotCustomer() {
    double most = mostInWindow(true);

    // The slack that the users state: a tenth, and 72,000 tokens.
    assertTrue(most <= (RATE * 8 + BURST) * 1.1 + 72_000, "most in a window: " + most);
    // Nearly all of what the customer is due is given out.
    assertTrue(most >= RATE * 8, "most in a window: " + most);
  }

  @Test
  @DisplayName("is kept by equal shares while no VM hears another")
  void cutOff() {
    double most = mostInWindow(false);

    assertTrue(most <= (RATE * 8 + BURST) * 1.1 + 72_000, "most in a window: " + most);
  }

  @Test
  @DisplayName("gives a customer at half its rate all it asks")
  void insideRate() {
    FleetQuota q = new FleetQuota(RATE, BURST, 0);
    int refused = 0;
    for (long now = 0; now < 20_000; now += 40) {
      refused += q.tryTake(COST, 1, now) ? 0 : 1;
    }

    assertEquals(0, refused);
  }

  @Test
  @DisplayName("returns what a request took that did not run")
  void giveBack() {
    FleetQuota q = new FleetQuota(0.001, 1_000, 0);

    assertTrue(q.tryTake(1_000, 1, 0));
    assertFalse(q.tryTake(1_000, 1, 1));
    q.giveBack(1_000);
    assertTrue(q.tryTake(1_000, 1, 2));
  }

  /** Replays a customer that sends seven times its rate at all VMs, clumped. */
  private static double mostInWindow(boolean audible) {
    Random random = new Random(11);
    List<FleetQuota> vms = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      vms.add(new FleetQuota(RATE, BURST, 0));
    }
    double share = audible ? 1 : 1.0 / VMS;
    List<Long> times = new ArrayList<>();
    double perMs = 7 * RATE / COST / 1_000;
    for (long now = 0; now < 30_000; now++) {
      if (audible && now % DIGEST_MS == 0) {
        exchange(vms, now);
      }
      double expected = perMs;
      while (random.nextDouble() < expected) {
        expected -= 1;
        if (vms.get(random.nextInt(VMS)).tryTake(COST, share, now)) {
          times.add(now);
        }
      }
    }
    int most = 0;
    int from = 0;
    for (int to = 0; to < times.size(); to++) {
      while (times.get(to) - times.get(from) > WINDOW_MS) {
        from++;
      }
      most = Math.max(most, to - from + 1);
    }
    return most * COST;
  }

  private static void exchange(List<FleetQuota> vms, long now) {
    for (int i = 0; i < VMS; i++) {
      for (int j = 0; j < VMS; j++) {
        if (i != j) {
          vms.get(i).peerConsumed("vm-" + j, vms.get(j).consumed(), now);
        }
      }
    }
  }
}
