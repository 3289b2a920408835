package io.kumquatspindle.entry.control;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.transport.link.Link;
import io.kumquatspindle.transport.link.LinkClient;
import io.kumquatspindle.transport.link.LinkListener;
import io.kumquatspindle.transport.link.LinkRuntime;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Keeps a session connected to a control program. Prefers the local one, and fails over to another
 * one of the failure domain while the local one is unreachable.
 */
public final class ControlConnector implements AutoCloseable {
  /** Period of {@link #tick}, in milliseconds. */
  public static final long TICK_MS = 250;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
  private static final Duration SILENCE_LIMIT = Duration.ofMillis(1_500);
  private static final long FAILOVER_DELAY_MS = 2_000;
  private static final int LOCAL_INDEX = 0;

  private final LinkRuntime runtime;
  private final List<InetSocketAddress> addresses;
  private final ControlSession session;
  private final MonotonicClock clock;
  private final LinkClient local;
  private Optional<LinkClient> fallback = Optional.empty();
  private int fallbackIndex = LOCAL_INDEX;
  private Optional<Link> activeLink = Optional.empty();
  private long failoverTimerStartMs;
  private boolean closed;

  /**
   * Creates a connector and starts to connect to the local control program.
   *
   * @param runtime runs the I/O of the connections
   * @param addresses IP addresses and ports of control programs, the local one first
   * @param session session that uses the connection
   * @param clock the clock
   */
  public ControlConnector(
      LinkRuntime runtime,
      List<InetSocketAddress> addresses,
      ControlSession session,
      MonotonicClock clock) {
    this.runtime = runtime;
    this.addresses = List.copyOf(addresses);
    this.session = session;
    this.clock = clock;
    this.failoverTimerStartMs = clock.nowMs();
    this.local = connect(LOCAL_INDEX);
  }

  /** Connects to the next control program after 2 s without a connection. */
  public synchronized void tick() {
    long now = clock.nowMs();
    if (closed || activeLink.isPresent()) {
      failoverTimerStartMs = now;
      return;
    }
    if (now - failoverTimerStartMs >= FAILOVER_DELAY_MS && addresses.size() > 1) {
      failoverTimerStartMs = now;
      closeFallback();
      fallbackIndex = fallbackIndex % (addresses.size() - 1) + 1;
      logger.atWarning().log(
          "local control is unreachable, connecting to %s", addresses.get(fallbackIndex));
      fallback = Optional.of(connect(fallbackIndex));
    }
  }

  private LinkClient connect(int index) {
    return LinkClient.builder(runtime, new Listener(index == LOCAL_INDEX))
        .address(addresses.get(index))
        .heartbeat(HEARTBEAT_PERIOD)
        .silenceLimit(SILENCE_LIMIT)
        .start();
  }

  private void closeFallback() {
    fallback.ifPresent(LinkClient::close);
    fallback = Optional.empty();
  }

  private synchronized void linkOpened(Link link, boolean isLocal) {
    if (closed || (activeLink.isPresent() && !isLocal)) {
      return;
    }
    activeLink = Optional.of(link);
    session.connected(link::send);
    if (isLocal) {
      closeFallback();
    }
  }

  private synchronized void linkClosed(Link link, String reason) {
    if (activeLink.isPresent() && activeLink.get() == link) {
      logger.atWarning().log("connection to control lost: %s", reason);
      activeLink = Optional.empty();
      session.disconnected();
    }
  }

  private synchronized boolean isActive(Link link) {
    return activeLink.isPresent() && activeLink.get() == link;
  }

  @Override
  public synchronized void close() {
    closed = true;
    local.close();
    closeFallback();
  }

  private final class Listener implements LinkListener {
    private final boolean isLocal;

    private Listener(boolean isLocal) {
      this.isLocal = isLocal;
    }

    @Override
    public void opened(Link link) {
      ControlConnector.this.linkOpened(link, isLocal);
    }

    @Override
    public void received(Link link, Envelope envelope) {
      if (isActive(link) && envelope.body() instanceof EntryMessage m) {
        session.received(m);
      }
    }

    @Override
    public void closed(Link link, String reason) {
      linkClosed(link, reason);
    }
  }
}
