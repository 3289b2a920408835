package io.kumquatspindle.transport.callers;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.api.time.MonotonicClock;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts and logs the connections to one port that are closed to protect this VM. There may be
 * thousands in a second, so that a line stands for all of them.
 */
public final class ConnectionClosings {
  /** Shortest time between two lines with the same reason, in ms. */
  private static final long LINE_INTERVAL_MS = 1_000;

  private static final int BYTES_PER_KB = 1_024;

  private final Lines lines;
  private final MetricRegistry metrics;
  private final MonotonicClock clock;
  private final String port;
  private final Map<Reason, Unlogged> unlogged = new EnumMap<>(Reason.class);

  /** Why a connection is closed. */
  public enum Reason {
    /** The memory for the connections of the port is used up. */
    MEMORY,
    /** The port has no room for another connection. */
    CONNECTIONS,
    /** The other side does not read its response. */
    UNREAD,
    /** More bytes than a head may have came without a head. */
    HEAD_TOO_LONG,
    /** The head did not come in time. */
    HEAD_TOO_SLOW
  }

  /** Destination of the log lines. */
  @FunctionalInterface
  public interface Lines {
    /**
     * Writes a line.
     *
     * @param port name of the port
     * @param reason why the connections were closed
     * @param connections number of connections since the last line with the reason
     * @param heldKb memory that they held
     */
    void write(String port, String reason, long connections, long heldKb);
  }

  private static final class Unlogged {
    private long lastLineMs = Long.MIN_VALUE / 2;
    private long connections;
    private long bytes;
  }

  /**
   * Creates an instance for a port.
   *
   * @param lines destination of the lines
   * @param metrics registry of the counter
   * @param clock clock of the interval between lines
   * @param port name of the port in lines and metrics
   */
  public ConnectionClosings(
      Lines lines, MetricRegistry metrics, MonotonicClock clock, String port) {
    this.lines = lines;
    this.metrics = metrics;
    this.clock = clock;
    this.port = port;
  }

  /**
   * Records that a connection is closed.
   *
   * @param reason why
   * @param bytes memory that it holds
   */
  public void record(Reason reason, long bytes) {
    String name = MetricsText.name("connections_closed_total", "port", port, "why", code(reason));
    metrics.counter(name).inc();
    Unlogged u = unlogged.computeIfAbsent(reason, r -> new Unlogged());
    u.connections++;
    u.bytes += bytes;
    writeIfDue(reason, u);
  }

  /** Writes the lines that were held back and are due. */
  public void writeDueLines() {
    unlogged.forEach(this::writeIfDue);
  }

  private void writeIfDue(Reason reason, Unlogged u) {
    long now = clock.nowMs();
    if (u.connections == 0 || now - u.lastLineMs < LINE_INTERVAL_MS) {
      return;
    }
    lines.write(port, code(reason), u.connections, u.bytes / BYTES_PER_KB);
    u.lastLineMs = now;
    u.connections = 0;
    u.bytes = 0;
  }

  private static String code(Reason reason) {
    return reason.name().toLowerCase(Locale.ROOT);
  }
}
