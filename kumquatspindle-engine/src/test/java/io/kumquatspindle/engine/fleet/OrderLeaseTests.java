package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Order lease")
class OrderLeaseTests {
  private static final long TTL_MS = 3_000;
  private static final long HANDOVER_DELAY_MS = 3_000;

  private final OrderLease lease = new OrderLease(TTL_MS, HANDOVER_DELAY_MS, false);
  private final OrderLease fencedLease = new OrderLease(TTL_MS, HANDOVER_DELAY_MS, true);

  private static GroupGeneration generation(long number) {
    return new GroupGeneration(1, number);
  }

  @Test
  @DisplayName("permits orders only once the lease of the previous owner must have expired")
  void handoverDelay() {
    lease.renewed(0, 0, generation(1), Set.of(5), 0);
    lease.renewed(2_000, 2_000, generation(1), Set.of(5), 2_000);

    assertFalse(lease.mayOrder(5, 2_999, 2_999));
    assertTrue(lease.mayOrder(5, 3_000, 3_000));
    assertFalse(lease.mayOrder(6, 3_000, 3_000));
  }

  @Test
  @DisplayName("restarts the handover delay when a partition is lost and acquired again")
  void reacquired() {
    lease.renewed(0, 0, generation(1), Set.of(5), 0);
    lease.renewed(3_000, 3_000, generation(2), Set.of(), 3_000);
    lease.renewed(4_000, 4_000, generation(3), Set.of(5), 4_000);

    assertFalse(lease.mayOrder(5, 5_000, 5_000));
    lease.renewed(7_000, 7_000, generation(3), Set.of(5), 7_000);
    assertTrue(lease.mayOrder(5, 7_000, 7_000));
  }

  @Test
  @DisplayName("ignores a response of an earlier generation that arrives late")
  void lateAnswer() {
    lease.renewed(0, 0, generation(4), Set.of(), 0);
    lease.renewed(0, 0, generation(3), Set.of(5), 10);

    assertFalse(lease.holds(5));
    assertEquals(generation(4), lease.generation());
  }

  @Test
  @DisplayName("releases only the partitions that another VM owns in a later generation")
  void heldByPeer() {
    fencedLease.renewed(0, 0, generation(3), Set.of(5, 6), 0);
    fencedLease.releaseHeldByPeer(generation(2).fencingNumber(), Set.of(5));
    assertTrue(fencedLease.mayOrder(5, 4_000, 4_000));

    fencedLease.releaseHeldByPeer(generation(4).fencingNumber(), Set.of(5));
    assertFalse(fencedLease.mayOrder(5, 4_000, 4_000));
    assertTrue(fencedLease.mayOrder(6, 4_000, 4_000));
  }

  @Nested
  @DisplayName("when the store has come back from an older copy")
  class NewEra {
    private static final GroupGeneration RESTORED = new GroupGeneration(2, 3);

    @Test
    @DisplayName("continues with a higher fencing number if it was renewed shortly before")
    void kept() {
      fencedLease.renewed(0, 0, generation(5), Set.of(5), 0);
      fencedLease.renewed(9_000, 9_000, generation(5), Set.of(5), 9_000);
      long before = fencedLease.fencingNumber();
      fencedLease.renewed(10_000, 10_000, RESTORED, Set.of(5), 10_100);

      assertTrue(fencedLease.mayOrder(5, 10_100, 10_100));
      assertTrue(fencedLease.fencingNumber() > before);
    }

    @Test
    @DisplayName("waits if another VM may have sent orders since the last renewal")
    void gap() {
      fencedLease.renewed(0, 0, generation(5), Set.of(5), 0);
      fencedLease.renewed(10_000, 10_000, RESTORED, Set.of(5), 10_100);

      assertFalse(fencedLease.mayOrder(5, 13_000, 13_000));
      assertTrue(fencedLease.mayOrder(5, 13_100, 13_100));
    }

    @Test
    @DisplayName("waits if the VM was suspended since the last renewal")
    void suspended() {
      fencedLease.renewed(0, 0, generation(5), Set.of(5), 0);
      fencedLease.renewed(1_000, 9_000, RESTORED, Set.of(5), 1_100);

      assertFalse(fencedLease.mayOrder(5, 4_000, 12_000));
      assertTrue(fencedLease.mayOrder(5, 4_100, 12_100));
    }

    @Test
    @DisplayName("waits for a partition that it did not own before")
    void gained() {
      fencedLease.renewed(0, 0, generation(5), Set.of(5), 0);
      fencedLease.renewed(1_000, 1_000, RESTORED, Set.of(5, 6), 1_100);

      assertFalse(fencedLease.mayOrder(6, 4_000, 4_000));
      assertTrue(fencedLease.mayOrder(6, 4_100, 4_100));
    }

    @Test
    @DisplayName("ignores a late response of the previous era, although its generation is higher")
    void lateAnswer() {
      fencedLease.renewed(0, 0, RESTORED, Set.of(), 0);
      fencedLease.renewed(0, 0, generation(5), Set.of(5), 10);

      assertFalse(fencedLease.holds(5));
      assertEquals(RESTORED, fencedLease.generation());
    }
  }

  @Nested
  @DisplayName("when renewals fail")
  class Expiry {

    @Test
    @DisplayName("also expires by the wall clock, which includes the time of a suspension")
    void suspended() {
      lease.renewed(0, 0, generation(1), Set.of(5), 0);
      lease.renewed(4_000, 4_000, generation(1), Set.of(5), 4_000);

      assertTrue(lease.mayOrder(5, 4_100, 4_100));
      assertFalse(lease.mayOrder(5, 4_100, 9_000));
    }

    @Test
    @DisplayName("remains valid if endpoints reject lower fencing numbers")
    void fencingEnforcedContinues() {
      fencedLease.renewed(0, 0, generation(1), Set.of(5), 0);

      assertTrue(fencedLease.mayOrder(5, 60_000, 60_000));
    }

    @Test
    @DisplayName("ends once an endpoint has seen a higher number, until the next generation")
    void higherFencingNumber() {
      fencedLease.renewed(0, 0, generation(1), Set.of(5), 0);
      fencedLease.markFenced(5);

      assertFalse(fencedLease.mayOrder(5, 60_000, 60_000));
      fencedLease.renewed(60_000, 60_000, generation(1), Set.of(5), 60_000);
      assertFalse(fencedLease.mayOrder(5, 70_000, 70_000));
      fencedLease.renewed(70_000, 70_000, generation(2), Set.of(5), 70_000);
      assertTrue(fencedLease.mayOrder(5, 74_000, 74_000));
    }
  }
}
