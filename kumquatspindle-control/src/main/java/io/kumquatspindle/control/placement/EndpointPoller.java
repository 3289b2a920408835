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

/** Polls the reports of the endpoints that this VM is to poll. */
public final class EndpointPoller implements AutoCloseable {
  // An endpoint that does not answer holds a thread for its time limit, the others go on.
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
   * @param reportClient reads a report
   * @param assignedEndpoints returns the endpoints that this VM is to poll now
   * @param listener takes each report, on a thread of the poller
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
    // The metrics page has the processor time of the threads that run when it is set up.
    executor.prestartAllCoreThreads();
  }

  /** Starts one poll of each assigned endpoint whose last poll has ended. */
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

  /** Takes reports. */
  @FunctionalInterface
  public interface ReportListener {
    /**
     * Takes a report.
     *
     * @param report the report
     * @param takenAtMs when the endpoint was asked, on the monotonic clock
     */
    void onReport(EndpointReport report, long takenAtMs);
  }
}
