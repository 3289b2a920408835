package io.kumquatspindle.transport.callers;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.request.MemoryAccount;
import io.kumquatspindle.transport.callers.ConnectionClosings.Reason;
import io.netty.channel.Channel;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The memory that the unfinished requests and unread responses of all callers hold, and the number
 * of their connections. Closes connections when a limit is reached. Used on the event loop only.
 */
public final class CallerMemory {
  /** Part of the heap that callers may take unless a setting says otherwise: one in so many. */
  private static final long HEAP_SHARE = 4;

  private static final long BYTES_PER_KB = 1_024;

  /** Memory of a connection without a request (channel, pipeline, codec), in bytes; rounded up. */
  private static final long CONNECTION_BYTES = 8_192;

  /** Part of the descriptors that callers may use; the others are for endpoints, peers, store. */
  private static final int DESCRIPTOR_SHARE = 2;

  /** Descriptors that are reserved for files. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Interval of the checks of responses that wait to be read, in ms. */
  private static final long CHECK_INTERVAL_MS = 250;

  /**
   * Limits of the port.
   *
   * @param bytes memory that callers may hold
   * @param connections number of their connections
   */
  public record Limits(long bytes, int connections) {
    /**
     * Returns the limits of a process.
     *
     * @param settingKb memory in KB; 0 for a part of the heap
     * @param descriptors descriptors that the process may open
     * @return the limits
     */
    public static Limits of(long settingKb, long descriptors) {
      long bytes =
          settingKb > 0 ? settingKb * BYTES_PER_KB : Runtime.getRuntime().maxMemory() / HEAP_SHARE;
      return new Limits(
          bytes,
          (int)
              Math.min(
                  (descriptors - FILE_DESCRIPTORS) / DESCRIPTOR_SHARE, bytes / CONNECTION_BYTES));
    }
  }

  private final MemoryAccount<CallerAccount> account;
  private final ConnectionClosings closings;
  private final MonotonicClock clock;
  private final EventExecutor loop;
  private final Set<CallerAccount> withUnread = new HashSet<>();
  private final ArrayDeque<Runnable> paused = new ArrayDeque<>();
  private final int maxConnections;
  private boolean resumeScheduled;

  /**
   * Creates an account without connections.
   *
   * @param limits limits of the port
   * @param closings records the connections that are closed
   * @param clock the clock
   * @param loop event loop of all connections
   */
  public CallerMemory(
      Limits limits, ConnectionClosings closings, MonotonicClock clock, EventExecutor loop) {
    this.account = new MemoryAccount<>(limits.bytes());
    this.maxConnections = limits.connections();
    this.closings = closings;
    this.clock = clock;
    this.loop = loop;
  }

  /** Starts the regular checks. */
  public void start() {
    loop.scheduleWithFixedDelay(
        this::check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Admits a new connection. If there are too many, closes the one without a running request that
   * has made no progress for the longest time.
   *
   * @param channel the connection
   * @return the account of the connection; empty if it must be closed
   */
  public Optional<CallerAccount> admit(Channel channel) {
    if (account.size() >= maxConnections) {
      Optional<MemoryAccount<CallerAccount>.Holder> victim =
          account.longestWithoutProgress(clock.nowMs());
      if (victim.isEmpty()) {
        closings.record(Reason.CONNECTIONS, 0);
        return Optional.empty();
      }
      victim.get().connection().close(Reason.CONNECTIONS);
    }
    CallerAccount opened = new CallerAccount(this, channel, clock);
    opened.setHolder(account.open(opened, clock.nowMs()));
    return Optional.of(opened);
  }

  /** Returns whether no more bytes of callers may be handled for now. */
  boolean full() {
    return account.full();
  }

  /**
   * Returns what all callers hold.
   *
   * @return the memory in bytes
   */
  public long usedBytes() {
    return account.usedBytes();
  }

  /** Calls back once the account is no longer full. */
  void whenNotFull(Runnable resume) {
    paused.addLast(resume);
    onChanged();
  }

  /** Closes connections until the limit is kept, and resumes those that were paused. */
  void onChanged() {
    if (account.full()) {
      withUnread.forEach(CallerAccount::updateUnread);
      long now = clock.nowMs();
      for (Optional<MemoryAccount<CallerAccount>.Holder> next = account.nextToClose(now);
          next.isPresent();
          next = account.nextToClose(now)) {
        next.get().connection().close(Reason.MEMORY);
      }
    }
    if (!account.full() && !paused.isEmpty() && !resumeScheduled) {
      resumeScheduled = true;
      loop.execute(this::resume);
    }
  }

  private void resume() {
    resumeScheduled = false;
    for (int left = paused.size(); left > 0 && !account.full(); left--) {
      paused.removeFirst().run();
    }
  }

  void setUnread(CallerAccount caller, boolean unread) {
    if (unread) {
      withUnread.add(caller);
    } else {
      withUnread.remove(caller);
    }
  }

  ConnectionClosings closings() {
    return closings;
  }

  private void check() {
    for (CallerAccount a : Set.copyOf(withUnread)) {
      a.checkUnread();
    }
    onChanged();
    closings.writeDueLines();
  }
}
