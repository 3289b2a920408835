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
 * The newest report of each endpoint, polled here or received by gossip. Safe for use by several
 * threads.
 */
public final class EndpointReportCache {
  /** How often a report that was polled here is passed on. */
  public static final int POLLED_REPORT_TRANSMISSIONS = 6;

  /** How often a report that came from a peer is passed on. */
  public static final int RELAYED_REPORT_TRANSMISSIONS = 2;

  private static final int MAX_REPORTS_PER_MESSAGE = 24;
  private static final long MAX_AGE_MS = 60_000;

  // A report that says the same as the one before only renews its age. Passing each on, twice a
  // second, took most of the bytes between controls.
  private static final long UNCHANGED_REPORT_PERIOD_MS = 2_000;

  private final MonotonicClock clock;
  // In the order in which reports are passed on next.
  private final Map<EndpointName, Entry> entries = new LinkedHashMap<>();

  /**
   * Creates an empty board.
   *
   * @param clock the monotonic clock
   */
  public EndpointReportCache(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Takes a report if it is newer than the one held. A report that says the same as the one held is
   * passed on again only some time after the one that was passed on first.
   *
   * @param report the report
   * @param takenAtMs when the endpoint was polled, on the monotonic clock
   * @param transmissions how often it is to be passed on
   * @return whether it was newer
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
   * Returns reports to pass on, and counts them as passed on.
   *
   * @return at most as many as fit a gossip message
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
    // New reports come twice a second; without turns those at the end are never passed on when
    // there are more endpoints than a message holds.
    for (Entry e : selected) {
      entries.remove(e.report.endpoint());
      entries.put(e.report.endpoint(), e);
    }
    return selected.stream().map(e -> new AgedReport(now - e.takenAtMs, e.report)).toList();
  }

  /**
   * Returns the load of every endpoint that has reported lately.
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
