package io.kumquatspindle.control.config;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.state.StreamApplier;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamEventHandler;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.transport.worker.EventWorker;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Owns the configuration, which results from the tickets stream, and tracks when it was last
 * confirmed to be up to date.
 */
public final class ConfigurationController implements StreamOwner, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 256;

  private final MonotonicClock clock;
  private final ConfigurationStreamStateMachine stateMachine =
      new ConfigurationStreamStateMachine();
  private final StreamEventHandler handler =
      new StreamEventHandler(new StreamApplier(stateMachine));
  private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
  private final EventWorker<ConfigurationEvent> worker;
  private volatile ConfigurationState state =
      new ConfigurationState(0, Configuration.EMPTY, 0, false, false, false);

  /**
   * Creates a controller and starts its thread.
   *
   * @param clock the monotonic clock
   */
  public ConfigurationController(MonotonicClock clock) {
    this.clock = clock;
    this.worker =
        EventWorker.<ConfigurationEvent>builder("configuration", this::handle)
            .capacity(RING_CAPACITY)
            .start();
  }

  /**
   * Adds a listener. Must be called before the first event.
   *
   * @param listener the listener
   */
  public void subscribe(ConfigurationListener listener) {
    listeners.add(listener);
  }

  /**
   * Returns the state, as last published.
   *
   * @return the state
   */
  public ConfigurationState state() {
    return state;
  }

  @Override
  public boolean offer(StreamEvent event) {
    return worker.offer(new ConfigurationEvent.Stream(event));
  }

  /**
   * Handles the freshness that a peer reported in reply to a request.
   *
   * @param peerOffset offset of the first tickets record that the peer has not applied
   * @param peerConfirmedAgoMs time since the peer's configuration was last confirmed, in
   *     milliseconds
   * @param requestedAtMs when the request was sent, on the monotonic clock
   */
  public void peerFreshnessReceived(long peerOffset, long peerConfirmedAgoMs, long requestedAtMs) {
    worker.offer(
        new ConfigurationEvent.PeerFreshnessReceived(
            peerOffset, peerConfirmedAgoMs, requestedAtMs));
  }

  @Override
  public StreamEventHandler eventHandler() {
    return handler;
  }

  @Override
  public void close() {
    worker.close();
  }

  private void handle(ConfigurationEvent event) {
    boolean changed = false;
    long confirmedAtMs = state.everConfirmed() ? state.confirmedAtMs() : Long.MIN_VALUE;
    if (event instanceof ConfigurationEvent.Stream s) {
      changed = handler.handle(s.event());
      confirmedAtMs = Math.max(confirmedAtMs, confirmedByLog(s.event()));
    } else if (event instanceof ConfigurationEvent.PeerFreshnessReceived p) {
      confirmedAtMs = Math.max(confirmedAtMs, confirmedByPeer(p));
    }
    boolean firstConfirmation = !state.everConfirmed() && confirmedAtMs != Long.MIN_VALUE;
    publish(confirmedAtMs);
    if (changed || firstConfirmation) {
      notifyListeners();
    }
  }

  // Uses the time of the request, since the response may have been delayed in transit.
  private long confirmedByLog(StreamEvent event) {
    if (event instanceof StreamEvent.LogRead read
        && !handler.hasGap()
        && handler.nextOffset() >= read.batch().end()) {
      return read.requestedAtMs();
    }
    return Long.MIN_VALUE;
  }

  private long confirmedByPeer(ConfigurationEvent.PeerFreshnessReceived p) {
    boolean peerConfirmed = p.peerConfirmedAgoMs() < ConfigurationState.NEVER_CONFIRMED_MS;
    if (peerConfirmed && handler.nextOffset() >= p.peerOffset()) {
      return p.requestedAtMs() - p.peerConfirmedAgoMs();
    }
    return Long.MIN_VALUE;
  }

  private void publish(long confirmedAtMs) {
    boolean confirmed = confirmedAtMs != Long.MIN_VALUE;
    state =
        new ConfigurationState(
            handler.nextOffset(),
            stateMachine.configuration(),
            confirmed ? confirmedAtMs : 0,
            confirmed,
            handler.hasGap(),
            handler.logReachable());
  }

  private void notifyListeners() {
    logger.atFine().log("published configuration %d", state.configuration().number());
    for (ConfigurationListener l : listeners) {
      l.configurationChanged(state);
    }
  }

  /**
   * Returns the time since the configuration was last confirmed to be up to date.
   *
   * @return time in milliseconds
   */
  public long confirmedAgoMs() {
    return state.confirmedAgoMs(clock.nowMs());
  }
}
