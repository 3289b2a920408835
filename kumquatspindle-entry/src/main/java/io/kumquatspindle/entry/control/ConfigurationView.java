package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.message.EntryMessage.ConfigUpdate;
import io.kumquatspindle.api.message.EntryMessage.Freshness;
import io.kumquatspindle.api.model.KeyHash;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** The latest configuration received from control, and the time at which it was last confirmed. */
public final class ConfigurationView {
  private static final long MS_PER_SECOND = 1_000;

  private record State(long offset, long confirmedAtMs, Configuration configuration) {}

  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile State state;

  /**
   * Returns the configuration.
   *
   * @return the configuration; one without content before the first update
   */
  public Configuration configuration() {
    State s = state;
    return s == null ? Configuration.EMPTY : s.configuration();
  }

  /**
   * Returns whether a configuration has been received.
   *
   * @return whether a configuration has been received
   */
  public boolean isPresent() {
    return state != null;
  }

  /**
   * Registers a listener for changes.
   *
   * @param listener called after each change, on the thread that receives the message; must not
   *     block
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Authenticates a caller by its key.
   *
   * @param key the key that the caller sent
   * @param nowMs current time in milliseconds
   * @return the customer to which the key belongs, or why the key is rejected
   */
  public AuthenticationResult authenticate(String key, long nowMs) {
    State s = state;
    if (s == null) {
      return new AuthenticationResult.Rejected(ErrorKind.STALE_CONFIGURATION);
    }
    Configuration c = s.configuration();
    KeyHash hash = KeyHash.ofKey(key);
    Optional<ErrorKind> error = keyError(c, hash);
    if (error.isPresent()) {
      return new AuthenticationResult.Rejected(error.get());
    }
    CustomerSpec customer = c.customers().get(c.keys().get(hash).customer());
    long unconfirmedMs = nowMs - s.confirmedAtMs();
    if (unconfirmedMs > customer.offlineGraceSeconds() * MS_PER_SECOND) {
      return new AuthenticationResult.Rejected(ErrorKind.STALE_CONFIGURATION);
    }
    return new AuthenticationResult.Accepted(hash, customer);
  }

  /**
   * Checks whether a key that was accepted earlier is still valid.
   *
   * @param hash hash of the key
   * @return kind of error to report, or empty if the key is valid
   */
  public Optional<ErrorKind> keyError(KeyHash hash) {
    return keyError(configuration(), hash);
  }

  private static Optional<ErrorKind> keyError(Configuration c, KeyHash hash) {
    KeySpec spec = c.keys().get(hash);
    if (spec == null
        || !equalInConstantTime(spec.hash(), hash)
        || !c.customers().containsKey(spec.customer())) {
      return Optional.of(ErrorKind.UNKNOWN_KEY);
    }
    return spec.withdrawn() ? Optional.of(ErrorKind.KEY_WITHDRAWN) : Optional.empty();
  }

  synchronized void update(ConfigUpdate update, long nowMs) {
    State old = state;
    // A control that lags behind the previous one must not make a withdrawn key valid again.
    if (old != null && update.ticketsOffset() < old.offset()) {
      return;
    }
    long confirmed = nowMs - update.confirmedAgoMs();
    long confirmedAtMs = old == null ? confirmed : Math.max(confirmed, old.confirmedAtMs());
    state = new State(update.ticketsOffset(), confirmedAtMs, update.configuration());
    listeners.forEach(Runnable::run);
  }

  synchronized void confirm(Freshness freshness, long nowMs) {
    State old = state;
    // A confirmation of a newer configuration does not confirm the older one held here.
    if (old == null || freshness.ticketsOffset() > old.offset()) {
      return;
    }
    long confirmedAtMs = Math.max(old.confirmedAtMs(), nowMs - freshness.confirmedAgoMs());
    state = new State(old.offset(), confirmedAtMs, old.configuration());
  }

  private static boolean equalInConstantTime(KeyHash a, KeyHash b) {
    byte[] x = a.value().getBytes(StandardCharsets.US_ASCII);
    byte[] y = b.value().getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(x, y);
  }
}
