package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.message.EntryMessage.EndpointLoad;
import io.kumquatspindle.api.message.PeerMessage.AgedReport;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.time.MonotonicClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Caches the newest report of each endpoint, whether polled by this VM or received by gossip.
 * Thread-safe.
 */
public final class EndpointReportCache {
  /** Number of gossip messages that carry a report polled by this VM. */
  public static final int POLLED_REPORT_TRANSMISSIONS = 6;

  /** Number of gossip messages that carry a report received from a peer. */
  public static final int RELAYED_REPORT_TRANSMISSIONS = 2;

  private static final int MAX_REPORTS_PER_MESSAGE = 24;
  private static final long MAX_AGE_MS = 60_000;

  // A report with the same content as the previous one only renews its age. Disseminating every
  // such report, twice a second, caused most of the traffic between control programs.
  private static final long UNCHANGED_REPORT_PERIOD_MS = 2_000;

  private final MonotonicClock clock;
  // In transmission order: the reports for the next gossip message come first.
  private final Map<EndpointName, Entry> entries = new LinkedHashMap<>();

  /**
   * Creates an empty cache.
   *
   * @param clock the monotonic clock
   */
  public EndpointReportCache(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Stores a report if it is newer than the cached one. A report with the same content as the
   * cached one is disseminated again only after a minimum period.
   *
   * @param report the report
   * @param takenAtMs when the endpoint was polled, on the monotonic clock
   * @param transmissions number of gossip messages that carry the report
   * @return whether the report was newer
   */
  public synchronized boolean put(EndpointReport report, long takenAtMs, int transmissions) {
    Entry current = entries.get(report.endpoint());
    if (current != null && current.takenAtMs >= takenAtMs) {
      return false;
    }
    boolean unchanged =
        current != null
            && current.report.equals(report)
            && takenAtMs - current.disseminatedAtMs < UNCHANGED_REPORT_PERIOD_MS;
    entries.put(
        report.endpoint(),
        unchanged
            ? new Entry(report, takenAtMs, current.disseminatedAtMs, current.transmissionsLeft)
            : new Entry(report, takenAtMs, takenAtMs, transmissions));
    return true;
  }

  /**
   * Returns the reports for the next gossip message and counts them as transmitted.
   *
   * @return at most as many reports as fit into a gossip message
   */
  public synchronized List<AgedReport> takeForGossip() {
    long now = clock.nowMs();
    List<Entry> selected = new ArrayList<>();
    for (Entry e : entries.values()) {
      if (selected.size() >= MAX_REPORTS_PER_MESSAGE) {
        break;
      }
      if (e.transmissionsLeft > 0) {
        e.transmissionsLeft--;
        selected.add(e);
      }
    }
    // Rotates the order. Reports are renewed twice a second, so those at the end would otherwise
    // never be transmitted if there are more endpoints than a message can carry.
    for (Entry e : selected) {
      entries.remove(e.report.endpoint());
      entries.put(e.report.endpoint(), e);
    }
    return selected.stream().map(e -> new AgedReport(now - e.takenAtMs, e.report)).toList();
  }

  /**
   * Returns the load of every endpoint with a recent report, and removes reports that are too old.
   *
   * @return one element for each endpoint
   */
  public synchronized List<EndpointLoad> loads() {
    long now = clock.nowMs();
    entries.values().removeIf(e -> now - e.takenAtMs > MAX_AGE_MS);
    List<EndpointLoad> result = new ArrayList<>(entries.size());
    for (Entry e : entries.values()) {
      EndpointReport r = e.report;
      result.add(
          new EndpointLoad(
              r.endpoint(),
              r.running(),
              r.waiting(),
              r.capacity(),
              r.leaving(),
              now - e.takenAtMs));
    }
    return result;
  }

  private static final class Entry {
    private final EndpointReport report;
    private final long takenAtMs;
    // Value of takenAtMs when the dissemination of this content was last started.
    private final long disseminatedAtMs;
    private int transmissionsLeft;

    private Entry(EndpointReport report, long takenAtMs, long disseminatedAtMs, int transmissions) {
      this.report = report;
      this.takenAtMs = takenAtMs;
      this.disseminatedAtMs = disseminatedAtMs;
      this.transmissionsLeft = transmissions;
    }
  }
}
