package io.kumquatspindle.control.config;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamEventHandler;
import io.kumquatspindle.control.state.StreamFeed;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.transport.worker.EventWorker;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Owns the fold of the tickets stream and knows how recently it was confirmed up to date. */
public final class ConfigurationController implements StreamOwner, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 256;

  private final MonotonicClock clock;
  private final ConfigurationFoldAdapter fold = new ConfigurationFoldAdapter();
  private final StreamEventHandler handler = new StreamEventHandler(new StreamFeed(fold));
  private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();
  private final EventWorker<ConfigurationEvent> duty;
  private volatile ConfigurationState state =
      new ConfigurationState(0, Configuration.EMPTY, 0, false, false, false);

  /**
   * Creates a controller and starts its thread.
   *
   * @param clock the monotonic clock
   */
  public ConfigurationController(MonotonicClock clock) {
    this.clock = clock;
    this.duty =
        EventWorker.<ConfigurationEvent>builder("configuration", this::handle)
            .capacity(RING_CAPACITY)
            .start();
  }

  /**
   * Adds a listener; to be called before the first event.
   *
   * @param listener the listener
   */
  public void subscribe(ConfigurationListener listener) {
    listeners.add(listener);
  }

  /**
   * Returns the state that was published last.
   *
   * @return the state
   */
  public ConfigurationState state() {
    return state;
  }

  @Override
  public boolean offer(StreamEvent event) {
    return duty.offer(new ConfigurationEvent.Stream(event));
  }

  /**
   * Takes what a peer said about itself in answer to a question.
   *
   * @param peerOffset next offset of the tickets stream that the peer has not applied
   * @param peerConfirmedAgoMs time since the peer was confirmed up to date, in milliseconds
   * @param askedAtMs when the question was sent, on the monotonic clock
   */
  public void peerConfirmed(long peerOffset, long peerConfirmedAgoMs, long askedAtMs) {
    duty.offer(new ConfigurationEvent.PeerConfirmed(peerOffset, peerConfirmedAgoMs, askedAtMs));
  }

  @Override
  public StreamEventHandler stream() {
    return handler;
  }

  @Override
  public void close() {
    duty.close();
  }

  private void handle(ConfigurationEvent event) {
    boolean changed = false;
    long confirmedAt = state.everConfirmed() ? state.confirmedAtMs() : Long.MIN_VALUE;
    if (event instanceof ConfigurationEvent.Stream s) {
      changed = handler.handle(s.event());
      confirmedAt = Math.max(confirmedAt, confirmedByLog(s.event()));
    } else if (event instanceof ConfigurationEvent.PeerConfirmed p) {
      confirmedAt = Math.max(confirmedAt, confirmedByPeer(p));
    }
    boolean first = !state.everConfirmed() && confirmedAt != Long.MIN_VALUE;
    publish(confirmedAt);
    if (changed || first) {
      announce();
    }
  }

  // The time of the question counts, not of the answer, which may have been under way for long.
  private long confirmedByLog(StreamEvent event) {
    if (event instanceof StreamEvent.LogRead read
        && !handler.gap()
        && handler.nextOffset() >= read.batch().end()) {
      return read.askedAtMs();
    }
    return Long.MIN_VALUE;
  }

  private long confirmedByPeer(ConfigurationEvent.PeerConfirmed p) {
    boolean known = p.peerConfirmedAgoMs() < ConfigurationState.NEVER_MS;
    if (known && handler.nextOffset() >= p.peerOffset()) {
      return p.askedAtMs() - p.peerConfirmedAgoMs();
    }
    return Long.MIN_VALUE;
  }

  private void publish(long confirmedAt) {
    boolean confirmed = confirmedAt != Long.MIN_VALUE;
    state =
        new ConfigurationState(
            handler.nextOffset(),
            fold.configuration(),
            confirmed ? confirmedAt : 0,
            confirmed,
            handler.gap(),
            handler.logReachable());
  }

  private void announce() {
    logger.atFine().log("configuration %d published", state.configuration().number());
    for (ConfigurationListener l : listeners) {
      l.inForce(state);
    }
  }

  /**
   * Returns the time since the configuration was last confirmed.
   *
   * @return time in milliseconds
   */
  public long confirmedAgoMs() {
    return state.confirmedAgoMs(clock.nowMs());
  }
}
