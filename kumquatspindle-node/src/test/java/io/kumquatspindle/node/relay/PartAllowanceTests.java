package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The allowance of a connection")
class PartAllowanceTests {
  private static final long START_NANOS = 7;

  private final PartAllowance allowance = new PartAllowance(START_NANOS);

  private static long at(long ms) {
    return START_NANOS + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  @Test
  @DisplayName("lets a fast stream of events pass, also after a pause of some seconds")
  void soundStream() {
    assertEquals(0, allowance.spend(3_000, 300_000, at(0)));
    for (int ms = 5; ms < 60_000; ms += 5) {
      assertEquals(0, allowance.spend(2, 150, at(ms)));
    }
  }

  @Test
  @DisplayName("lets a large body pass")
  void largeBody() {
    for (int ms = 0; ms < 10_000; ms++) {
      assertEquals(0, allowance.spend(8, 8 * 16_384, at(ms)));
    }
  }

  @Test
  @DisplayName("bounds small parts without end to a small rate")
  void smallParts() {
    long ms = 0;
    long parts = 0;
    while (ms < 10_000) {
      long pauseMs = allowance.spend(2_700, 2_700, at(ms));
      parts += 2_700;
      ms += Math.max(1, pauseMs);
    }
    assertTrue(parts < 30_000, parts + " parts in 10 s");
  }
}
