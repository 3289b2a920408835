package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Active loads")
class ActiveLoadsTests {
  private static final long LOAD_MS = 8_000;
  private static final long VALID_MS = 6_000;

  private final ActiveLoads loads = new ActiveLoads(4);

  private static ActiveLoads.Report report(String endpoint, long elapsedMs) {
    return new ActiveLoads.Report(endpoint, "m", true, elapsedMs, LOAD_MS);
  }

  @Test
  @DisplayName("count a load for as long as its owner confirms it")
  void confirmedLoad() {
    loads.started("e", "m", true, LOAD_MS, 0);
    for (long now = 1_200; now < 40_000; now += 1_200) {
      loads.confirmed(report("e", now), VALID_MS, now);
      assertEquals(1, loads.storeLoadCount(now));
      assertTrue(loads.expire(now).isEmpty());
    }

    assertEquals(40_000, loads.ended("e", 40_000).orElseThrow().elapsedMs());
    assertEquals(0, loads.storeLoadCount(40_000));
  }

  @Test
  @DisplayName("discard a load whose owner is no longer heard, and name it")
  void unconfirmedLoad() {
    loads.confirmed(report("e", 3_000), VALID_MS, 10_000);

    assertEquals(List.of(), loads.expire(15_999));
    assertEquals("e", loads.expire(16_000).get(0).endpoint());
    assertEquals(0, loads.storeLoadCount(16_000));
  }

  @Test
  @DisplayName("report the loads of this VM only, and only while it confirms them")
  void ownReports() {
    loads.started("own", "m", true, LOAD_MS, 0);
    loads.started("other", "m", true, LOAD_MS, 0);
    loads.confirmedByOwner("own", 1_000, 500);

    assertEquals(List.of(report("own", 600)), loads.ownReports(600));
    assertEquals(List.of(), loads.ownReports(1_600));
  }

  @Test
  @DisplayName("do not expect an overdue load to end at once")
  void overdueLoad() {
    loads.started("e", "m", true, LOAD_MS, 0);
    loads.confirmedByOwner("e", 1_000, 20_000);

    assertTrue(loads.loadAt("e", 20_000).orElseThrow().untilMs() >= 25_000);
  }

  @Test
  @DisplayName("that take longer together than alone lower the number that may start")
  void limitFollowsDurations() {
    int limit = loads.storeLoadLimit();
    for (String e : List.of("a", "b", "c", "d")) {
      loads.started(e, "m", true, LOAD_MS, 0);
    }
    for (long now = 0; now <= 4 * LOAD_MS; now += 1_000) {
      for (String e : List.of("a", "b", "c", "d")) {
        loads.confirmed(report(e, now), VALID_MS, now);
      }
      limit = loads.storeLoadLimit();
    }

    assertEquals(1, limit);
  }

  @Test
  @DisplayName("that have just become late do not hide how slow the ended ones were")
  void laterLoadsStillRunning() {
    // Eight at once at a store that serves two; the next eight start before the first have ended.
    for (int i = 0; i < 8; i++) {
      loads.started("a" + i, "m", true, LOAD_MS, 0);
    }
    for (long now = 0; now <= 4 * LOAD_MS; now += 1_000) {
      for (int i = 0; i < 8; i++) {
        loads.confirmed(report("a" + i, now), VALID_MS, now);
      }
    }
    for (int i = 0; i < 8; i++) {
      loads.started("b" + i, "m", true, LOAD_MS, 2 * LOAD_MS + 6_000);
    }
    for (int i = 0; i < 4; i++) {
      loads.ended("a" + i, 4 * LOAD_MS);
    }
    for (int i = 0; i < 8; i++) {
      loads.confirmed(report("b" + i, 12_000), VALID_MS, 4 * LOAD_MS + 2_000);
    }

    assertTrue(loads.storeLoadLimit() <= 3, "limit " + loads.storeLoadLimit());
  }

  @Test
  @DisplayName("of copies that were taken for loads from the store say nothing about the store")
  void copiesTakenForStoreLoads() {
    for (String e : List.of("a", "b", "c", "d")) {
      loads.started(e, "m", true, LOAD_MS, 0);
    }
    for (long now = 0; now <= 4 * LOAD_MS; now += 1_000) {
      for (String e : List.of("a", "b", "c", "d")) {
        loads.confirmed(report(e, now), VALID_MS, now);
      }
      loads.started("copy", "n", false, 540, now);
      loads.started("copy", "n", true, LOAD_MS, now + 700);
      loads.ended("copy", now + 750);
    }

    assertTrue(loads.storeLoadLimit() <= 2, "limit " + loads.storeLoadLimit());
  }

  @Test
  @DisplayName("that run at full speed raise the number that may start, up to the setting")
  void limitRises() {
    for (long now = 0; now < 10 * LOAD_MS; now += LOAD_MS) {
      int atOnce = loads.storeLoadLimit();
      for (int i = 0; i < atOnce; i++) {
        loads.started("e" + i, "m", true, LOAD_MS, now);
      }
      for (int i = 0; i < atOnce; i++) {
        loads.ended("e" + i, now + LOAD_MS);
      }
    }

    assertEquals(4, loads.storeLoadLimit());
  }

  @Test
  @DisplayName("that are slow one at a time do not keep the number at 1")
  void limitRecovers() {
    limitFollowsDurations();
    loads.retain(e -> false, 40_000);
    for (long now = 40_000; now < 40_000 + 20 * LOAD_MS; now += 2 * LOAD_MS) {
      loads.started("e", "m", true, LOAD_MS, now);
      loads.ended("e", now + 2 * LOAD_MS - 1);
    }

    assertTrue(loads.storeLoadLimit() > 1);
  }

  @Test
  @DisplayName("that begin later than one at full speed do not count as if they ran at full speed")
  void laterLoadsSlowedDownOnly() {
    // The store serves two at once and does not slow down those that began before.
    loads.started("a", "m", true, LOAD_MS, 0);
    loads.started("b", "m", true, LOAD_MS, 0);
    loads.started("c", "m", true, LOAD_MS, 100);
    loads.started("d", "m", true, LOAD_MS, 100);
    loads.ended("a", LOAD_MS);
    loads.ended("b", LOAD_MS);
    assertTrue(loads.storeLoadLimit() <= 3, "limit " + loads.storeLoadLimit());

    loads.ended("c", 100 + 3 * LOAD_MS / 2);
    loads.ended("d", 100 + 2 * LOAD_MS);
    assertEquals(2, loads.storeLoadLimit());
  }

  @Test
  @DisplayName("that begin together do not raise the number by the order in which they are known")
  void begunTogether() {
    for (String e : List.of("a", "b")) {
      loads.started(e, "m", true, LOAD_MS, 0);
    }
    loads.ended("a", LOAD_MS);
    loads.ended("b", LOAD_MS);
    assertEquals(3, loads.storeLoadLimit());
    // The store serves two at once, and takes the one that is known last before the others.
    for (String e : List.of("c", "a", "b")) {
      loads.started(e, "m", true, LOAD_MS, 20_000);
    }
    loads.ended("b", 20_000 + LOAD_MS);
    loads.ended("a", 20_010 + LOAD_MS);

    assertEquals(3, loads.storeLoadLimit());
  }

  @Test
  @DisplayName("are not brought back by a report that is older than their end")
  void lateReport() {
    loads.started("e", "m", true, LOAD_MS, 0);
    loads.ended("e", 9_000);
    loads.confirmed(report("e", 8_900), VALID_MS, 9_100);

    assertEquals(0, loads.storeLoadCount(9_100));
    loads.confirmed(report("e", 100), VALID_MS, 9_200);
    assertEquals(1, loads.storeLoadCount(9_200));
  }

  @Test
  @DisplayName("of which only one is late do not lower the number: its endpoint may be slow")
  void singleSlowLoad() {
    int before = loads.storeLoadLimit();
    loads.started("slow", "m", true, LOAD_MS, 0);
    loads.started("e", "m", true, LOAD_MS, 0);
    loads.ended("e", LOAD_MS);
    loads.ended("slow", 3 * LOAD_MS);

    assertTrue(loads.storeLoadLimit() >= before);
  }
}
