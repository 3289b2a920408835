package io.kumquatspindle.node.relay;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a server has sent more parts of messages than a connection may cost. The load that
 * this answers: a server sends heads, chunks or events of a few bytes without end. Each part takes
 * about the same time to decode, however small it is, so that one connection could keep the event
 * loop busy at the expense of all others.
 */
final class PartAllowance {
  /** Parts per second that may be decoded for long; an engine makes some 200 events a second. */
  private static final long PARTS_PER_S = 2_000;

  /** Parts that may be decoded at once: the backlog of a fast stream after a pause of seconds. */
  private static final long MAX_BALANCE = 4_000;

  /** Number of bytes that take about as long to forward as a part takes to decode. */
  private static final int BYTES_PER_PART = 512;

  private double balance = MAX_BALANCE;
  private long lastNanos;

  /**
   * Creates an instance with the full balance.
   *
   * @param nowNanos monotonic time in ns
   */
  PartAllowance(long nowNanos) {
    lastNanos = nowNanos;
  }

  /**
   * Records parts that have been decoded. Large parts are not charged: their number is bounded by
   * the bandwidth of the link.
   *
   * @param parts number of parts
   * @param bytes their content in bytes
   * @param nowNanos monotonic time in ns
   * @return time for which nothing is to be read from the connection, in ms; 0 if none
   */
  long spend(int parts, long bytes, long nowNanos) {
    double perNano = (double) PARTS_PER_S / TimeUnit.SECONDS.toNanos(1);
    balance = Math.min(MAX_BALANCE, balance + (nowNanos - lastNanos) * perNano);
    lastNanos = nowNanos;
    balance -= Math.max(0, parts - (double) bytes / BYTES_PER_PART);
    return balance >= 0
        ? 0
        : (long) Math.ceil(-balance * TimeUnit.SECONDS.toMillis(1) / PARTS_PER_S);
  }
}
