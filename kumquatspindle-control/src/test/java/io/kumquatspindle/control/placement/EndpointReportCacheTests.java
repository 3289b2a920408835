package io.kumquatspindle.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("EndpointReportCache")
class EndpointReportCacheTests {
  private static final int ENDPOINTS = 96;
  private static final int PER_MESSAGE = 24;

  private final EndpointReportCache cache = new EndpointReportCache(() -> 1_000);

  private static EndpointReport report(int endpoint, int running) {
    EndpointName name = EndpointName.of("engine-" + endpoint);
    return new EndpointReport(name, "a", running, 0, 1, false, Map.of(), List.of(), List.of());
  }

  private boolean sentAfterPut(long takenAtMs, int running) {
    cache.put(report(0, running), takenAtMs, 1);
    return !cache.takeForGossip().isEmpty();
  }

  @Test
  @DisplayName("transmits all reports in turn even if all are renewed before each message")
  void sendsReportsInTurn() {
    Set<EndpointName> sent = new HashSet<>();
    for (int message = 0; message < ENDPOINTS / PER_MESSAGE; message++) {
      for (int i = 0; i < ENDPOINTS; i++) {
        cache.put(report(i, message), message, EndpointReportCache.POLLED_REPORT_TRANSMISSIONS);
      }
      cache.takeForGossip().forEach(r -> sent.add(r.report().endpoint()));
    }
    assertEquals(ENDPOINTS, sent.size());
  }

  @Test
  @DisplayName("transmits a changed report immediately, and an unchanged report only after 2 s")
  void sendsUnchangedReportLess() {
    assertTrue(sentAfterPut(0, 1));
    assertFalse(sentAfterPut(500, 1));
    assertTrue(sentAfterPut(1_000, 2));
    assertFalse(sentAfterPut(2_900, 2));
    assertTrue(sentAfterPut(3_000, 2));
    assertEquals(1, cache.loads().size());
  }
}
