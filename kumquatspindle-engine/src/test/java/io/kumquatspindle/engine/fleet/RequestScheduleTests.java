package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A schedule of requests")
class RequestScheduleTests {
  private static final Permit NOW = new Permit(true, 0);

  private final RequestSchedule schedule = new RequestSchedule(2, 0, true);

  @Test
  @DisplayName("grants permits at the rate, and rejects who cannot wait for the next time")
  void spacesRequests() {
    assertEquals(NOW, schedule.reserve(600, 0));
    assertEquals(new Permit(true, 500), schedule.reserve(600, 0));

    assertEquals(false, schedule.reserve(600, 0).granted());
    assertEquals(new Permit(true, 600), schedule.reserve(600, 400));
  }

  @Test
  @DisplayName("makes up for one unused time only")
  void savesOneTime() {
    assertEquals(NOW, schedule.reserve(0, 10_000));
    assertEquals(NOW, schedule.reserve(0, 10_000));
    assertEquals(false, schedule.reserve(0, 10_000).granted());
  }

  @Test
  @DisplayName("that saves nothing keeps to its own times")
  void losesUnusedTimes() {
    RequestSchedule apart = new RequestSchedule(2, 250, false);

    assertEquals(new Permit(true, 150), apart.reserve(300, 10_100));
    assertEquals(false, apart.reserve(300, 10_300).granted());
  }

  @Test
  @DisplayName("tells rejected callers to return one after the other, at free times")
  void spreadsReturns() {
    schedule.reserve(0, 0);

    assertEquals(new Permit(false, 1_000), schedule.reserve(0, 0));
    assertEquals(new Permit(false, 1_500), schedule.reserve(0, 0));
    assertEquals(NOW, schedule.reserve(0, 1_000));
  }

  @Test
  @DisplayName("tells no caller to return later than in 10 s, unless the next time is later")
  void boundsReturns() {
    for (int i = 0; i < 100; i++) {
      assertTrue(schedule.reserve(0, 0).delayMs() <= 10_000);
    }
    RequestSchedule slow = new RequestSchedule(0.05, 15_000, true);
    assertEquals(new Permit(false, 15_000), slow.reserve(0, 0));
  }

  @Test
  @DisplayName("keeps to a lower rate at once, also for times that were reserved before")
  void rateFalls() {
    schedule.reserve(1_000, 0);
    schedule.reserve(1_000, 0);

    schedule.setRate(0.5, 0);

    assertEquals(new Permit(true, 4_000), schedule.reserve(5_000, 0));
  }

  @Test
  @DisplayName("takes a time for an order")
  void chargesOrders() {
    schedule.charge(0);

    assertEquals(new Permit(true, 500), schedule.reserve(500, 0));
  }
}
