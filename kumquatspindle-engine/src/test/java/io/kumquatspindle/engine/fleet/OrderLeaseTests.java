package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Lease for orders")
class OrderLeaseTests {
  private static final long TTL_MS = 3_000;
  private static final long SETTLE_MS = 3_000;

  private final OrderLease lease = new OrderLease(TTL_MS, SETTLE_MS, false);
  private final OrderLease fenced = new OrderLease(TTL_MS, SETTLE_MS, true);

  @Test
  @DisplayName("allows no order until the holder before has been silent for the lease time")
  void settles() {
    lease.renewed(0, 0, 1, Set.of(5), 0);
    lease.renewed(2_000, 2_000, 1, Set.of(5), 2_000);

    assertFalse(lease.mayOrder(5, 2_999, 2_999));
    assertTrue(lease.mayOrder(5, 3_000, 3_000));
    assertFalse(lease.mayOrder(6, 3_000, 3_000));
  }

  @Test
  @DisplayName("starts to settle anew when a partition was lost and gained again")
  void gainedAgain() {
    lease.renewed(0, 0, 1, Set.of(5), 0);
    lease.renewed(3_000, 3_000, 2, Set.of(), 3_000);
    lease.renewed(4_000, 4_000, 3, Set.of(5), 4_000);

    assertFalse(lease.mayOrder(5, 5_000, 5_000));
    lease.renewed(7_000, 7_000, 3, Set.of(5), 7_000);
    assertTrue(lease.mayOrder(5, 7_000, 7_000));
  }

  @Test
  @DisplayName("ignores an answer of an earlier generation that arrives late")
  void lateAnswer() {
    lease.renewed(0, 0, 4, Set.of(), 0);
    lease.renewed(0, 0, 3, Set.of(5), 10);

    assertFalse(lease.holds(5));
    assertEquals(4, lease.fence());
  }

  @Test
  @DisplayName("gives up what another VM holds by a later generation, and only that")
  void othersHold() {
    fenced.renewed(0, 0, 3, Set.of(5, 6), 0);
    fenced.othersHold(2, Set.of(5));
    assertTrue(fenced.mayOrder(5, 4_000, 4_000));

    fenced.othersHold(4, Set.of(5));
    assertFalse(fenced.mayOrder(5, 4_000, 4_000));
    assertTrue(fenced.mayOrder(6, 4_000, 4_000));
  }

  @Nested
  @DisplayName("when renewals fail")
  class Expiry {

    @Test
    @DisplayName("ends by the time of day too, which counts a suspension")
    void suspended() {
      lease.renewed(0, 0, 1, Set.of(5), 0);
      lease.renewed(4_000, 4_000, 1, Set.of(5), 4_000);

      assertTrue(lease.mayOrder(5, 4_100, 4_100));
      assertFalse(lease.mayOrder(5, 4_100, 9_000));
    }

    @Test
    @DisplayName("goes on where endpoints refuse lower fencing numbers")
    void fencedGoesOn() {
      fenced.renewed(0, 0, 1, Set.of(5), 0);

      assertTrue(fenced.mayOrder(5, 60_000, 60_000));
    }

    @Test
    @DisplayName("stops for good once an endpoint has seen a higher number")
    void outranked() {
      fenced.renewed(0, 0, 1, Set.of(5), 0);
      fenced.outranked(5);

      assertFalse(fenced.mayOrder(5, 60_000, 60_000));
      fenced.renewed(60_000, 60_000, 1, Set.of(5), 60_000);
      assertFalse(fenced.mayOrder(5, 70_000, 70_000));
      fenced.renewed(70_000, 70_000, 2, Set.of(5), 70_000);
      assertTrue(fenced.mayOrder(5, 74_000, 74_000));
    }
  }
}
