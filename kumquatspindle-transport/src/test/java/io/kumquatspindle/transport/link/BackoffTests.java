package io.kumquatspindle.transport.link;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Backoff")
class BackoffTests {

  @Test
  @DisplayName("doubles up to the maximum, with each delay between 50 % and 100 % of its step")
  void growsWithJitter() {
    Backoff b = new Backoff(50, 1000, new Random(1));
    long step = 50;
    for (int i = 0; i < 100; i++) {
      long ms = b.nextMs();
      assertTrue(ms >= step / 2 && ms <= step, "attempt " + i + ": " + ms);
      step = Math.min(1000, step * 2);
    }
    b.reset();
    assertTrue(b.nextMs() <= 50);
  }
}
