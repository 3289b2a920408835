package io.kumquatspindle.engine.request;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Accounts for the memory that connections hold, and names the connection to be closed when too
 * much is held: the one that has held the most for the longest time without progress. Memory counts
 * until it has been released, also while its connection is being closed. Not thread-safe.
 *
 * @param <T> type of the connections
 */
public final class MemoryAccount<T> {
  /**
   * Time without progress of a connection whose request is being handled, in ms. Its caller can
   * only wait then, so that callers who owe bytes or do not read are closed first.
   */
  private static final long HANDLED_MS = 10;

  private final Set<Holder> holders = new LinkedHashSet<>();
  private final long limitBytes;
  private long usedBytes;
  private long closingBytes;

  /** What a connection is waiting for. */
  public enum State {
    /** The next request of the caller. */
    IDLE,
    /** The rest of a request. */
    RECEIVING,
    /** The response to a request that has been received. */
    HANDLED,
    /** The caller, who has to read the response. */
    SENDING
  }

  /**
   * Creates an account of which nothing is used.
   *
   * @param limitBytes bytes that may be held by all connections together
   */
  public MemoryAccount(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Adds a connection that holds nothing.
   *
   * @param connection the connection
   * @param nowMs current time in ms
   * @return its part of the account
   */
  public Holder open(T connection, long nowMs) {
    Holder holder = new Holder(connection, nowMs);
    holders.add(holder);
    return holder;
  }

  /**
   * Returns whether more is held than allowed, so that nothing more should be taken in.
   *
   * @return whether the limit is exceeded
   */
  public boolean full() {
    return usedBytes > limitBytes;
  }

  /**
   * Returns what is held.
   *
   * @return bytes of all connections together
   */
  public long usedBytes() {
    return usedBytes;
  }

  /**
   * Returns the number of connections.
   *
   * @return connections that have not been released
   */
  public int size() {
    return holders.size();
  }

  /**
   * Chooses the connection to be closed because of the limit.
   *
   * @param nowMs current time in ms
   * @return the connection; empty if the limit is kept once the connections being closed are gone
   */
  public Optional<Holder> nextToClose(long nowMs) {
    if (usedBytes - closingBytes <= limitBytes) {
      return Optional.empty();
    }
    Holder worst = null;
    for (Holder h : holders) {
      if (!h.closing && h.bytes > 0 && (worst == null || h.cost(nowMs) > worst.cost(nowMs))) {
        worst = h;
      }
    }
    return Optional.ofNullable(worst);
  }

  /**
   * Chooses the connection to be closed in favour of a new one. No request is being handled on it.
   *
   * @param nowMs current time in ms
   * @return the connection that has made no progress for the longest time; empty if there is none
   */
  public Optional<Holder> longestWithoutProgress(long nowMs) {
    Holder longest = null;
    for (Holder h : holders) {
      if (!h.closing
          && h.state != State.HANDLED
          && h.lastProgressMs < nowMs
          && (longest == null || h.lastProgressMs < longest.lastProgressMs)) {
        longest = h;
      }
    }
    return Optional.ofNullable(longest);
  }

  /** The part of one connection. */
  public final class Holder {
    private final T connection;
    private State state = State.IDLE;
    private long bytes;
    private long lastProgressMs;
    private boolean closing;
    private boolean released;

    private Holder(T connection, long nowMs) {
      this.connection = connection;
      this.lastProgressMs = nowMs;
    }

    /**
     * Returns the connection.
     *
     * @return the connection
     */
    public T connection() {
      return connection;
    }

    /**
     * Returns what the connection holds.
     *
     * @return bytes
     */
    public long bytes() {
      return bytes;
    }

    /**
     * Returns whether the connection is being closed.
     *
     * @return whether {@link #markClosing} was called
     */
    public boolean closing() {
      return closing;
    }

    /**
     * Sets what the connection holds.
     *
     * @param newBytes bytes
     */
    public void resize(long newBytes) {
      if (released) {
        return;
      }
      usedBytes += newBytes - bytes;
      closingBytes += closing ? newBytes - bytes : 0;
      bytes = newBytes;
    }

    /**
     * Sets what the connection waits for. A change counts as progress.
     *
     * @param newState the state
     * @param nowMs current time in ms
     */
    public void setState(State newState, long nowMs) {
      if (state != newState) {
        state = newState;
        lastProgressMs = nowMs;
      }
    }

    /**
     * Records progress in the present state.
     *
     * @param nowMs current time in ms
     */
    public void recordProgress(long nowMs) {
      lastProgressMs = nowMs;
    }

    /** Records that the connection is being closed; what it holds will be released. */
    public void markClosing() {
      if (!closing) {
        closing = true;
        closingBytes += bytes;
      }
    }

    /** Removes the connection, which holds nothing any more. */
    public void release() {
      resize(0);
      released = true;
      holders.remove(this);
    }

    private double cost(long nowMs) {
      return (double) bytes * (state == State.HANDLED ? HANDLED_MS : nowMs - lastProgressMs + 1);
    }
  }
}
