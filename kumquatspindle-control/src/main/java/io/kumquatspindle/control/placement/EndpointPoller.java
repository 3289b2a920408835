package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.EndpointReports;
import io.kumquatspindle.api.time.MonotonicClock;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Polls the reports of the endpoints that are assigned to this VM. */
public final class EndpointPoller implements AutoCloseable {
  // An endpoint that does not respond blocks one thread until its request times out; the other
  // threads continue to poll.
  private static final int THREADS = 4;
  private static final int QUEUE_CAPACITY = 256;

  private final EndpointReports reportClient;
  private final Supplier<Collection<EndpointSpec>> assignedEndpoints;
  private final ReportListener listener;
  private final MonotonicClock clock;
  private final Set<EndpointName> pollsInProgress = ConcurrentHashMap.newKeySet();
  private final ThreadPoolExecutor executor;

  /**
   * Creates a poller.
   *
   * @param reportClient requests reports from endpoints
   * @param assignedEndpoints returns the endpoints that are currently assigned to this VM
   * @param listener receives each report, on a thread of the poller
   * @param clock the monotonic clock
   */
  public EndpointPoller(
      EndpointReports reportClient,
      Supplier<Collection<EndpointSpec>> assignedEndpoints,
      ReportListener listener,
      MonotonicClock clock) {
    this.reportClient = reportClient;
    this.assignedEndpoints = assignedEndpoints;
    this.listener = listener;
    this.clock = clock;
    this.executor =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(QUEUE_CAPACITY),
            r -> {
              Thread t = new Thread(r, "poll-endpoints");
              t.setDaemon(true);
              return t;
            });
    // The metrics include the CPU time only of threads that exist when the metrics are registered.
    executor.prestartAllCoreThreads();
  }

  /** Starts a poll of each assigned endpoint whose previous poll has completed. */
  public void pollAll() {
    for (EndpointSpec e : assignedEndpoints.get()) {
      if (pollsInProgress.add(e.name())) {
        submit(e);
      }
    }
  }

  private void submit(EndpointSpec endpoint) {
    try {
      executor.execute(() -> poll(endpoint));
    } catch (RejectedExecutionException e) {
      pollsInProgress.remove(endpoint.name());
    }
  }

  private void poll(EndpointSpec endpoint) {
    try {
      long requestedAtMs = clock.nowMs();
      Optional<EndpointReport> report = reportClient.read(endpoint);
      report.ifPresent(r -> listener.onReport(r, requestedAtMs));
    } finally {
      pollsInProgress.remove(endpoint.name());
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  /** Receives reports. */
  @FunctionalInterface
  public interface ReportListener {
    /**
     * Handles a report.
     *
     * @param report the report
     * @param takenAtMs when the report was requested, on the monotonic clock
     */
    void onReport(EndpointReport report, long takenAtMs);
  }
}
