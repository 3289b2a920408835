package io.kumquatspindle.engine.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds the requests of one service at one VM that full endpoints have rejected, the most urgent
 * first. When all of them are sent again at once, they compete for the same few slots, and the
 * rejected ones use up the retry budget. Therefore, each free slot releases one request. Not
 * thread-safe: confined to one owner thread.
 */
public final class SlotQueue {
  private final List<Waiting> waiting = new ArrayList<>();
  private final ArrayDeque<Release> releases = new ArrayDeque<>();
  private final long intervalMs;

  /** Time of the last release without a free slot. */
  private long unreportedMs = Long.MIN_VALUE / 2;

  /** A request that waits. */
  public interface Waiting {
    /**
     * Returns how urgent the request is.
     *
     * @return its urgency
     */
    RequestUrgency urgency();

    /**
     * Returns until when the request can be sent, so that it can be served in time.
     *
     * @return time in ms
     */
    long latestMs();

    /**
     * Returns from when the request may be sent although no slot is known to be free.
     *
     * @return time in ms
     */
    long unreportedFromMs();

    /**
     * Returns whether the request can use a free slot of an endpoint.
     *
     * @param endpoint ID of the endpoint
     * @return whether the endpoint rejected it as it was full
     */
    boolean canUse(String endpoint);
  }

  private record Release(String endpoint, long atMs) {}

  /**
   * Creates an empty queue.
   *
   * @param intervalMs interval between releases without a free slot, in ms; also the time after
   *     which a request that was released for a slot counts in the endpoint's reports
   */
  public SlotQueue(long intervalMs) {
    this.intervalMs = intervalMs;
  }

  /**
   * Adds a request, unless it would wait in vain.
   *
   * @param request the request
   * @param reports whether reports of free slots are to be expected
   * @param now current time, in ms
   * @return whether it waits
   */
  public boolean offer(Waiting request, boolean reports, long now) {
    long dueMs = request.urgency().dueMs(now);
    long ahead = waiting.stream().filter(w -> w.urgency().dueMs(now) <= dueMs).count();
    long turnMs =
        Math.max(request.unreportedFromMs(), unreportedMs + intervalMs) + ahead * intervalMs;
    boolean inTime = reports ? now <= request.latestMs() : turnMs <= request.latestMs();
    return inTime && waiting.add(request);
  }

  /**
   * Releases requests for the slots that an endpoint has reported free. Requests that were released
   * for its slots a short time ago may not have reached it before the report.
   *
   * @param endpoint ID of the endpoint
   * @param slots number of free slots
   * @param now current time, in ms
   * @return the requests, the most urgent first
   */
  public List<Waiting> releaseReported(String endpoint, int slots, long now) {
    while (!releases.isEmpty() && releases.peekFirst().atMs() <= now - intervalMs) {
      releases.removeFirst();
    }
    long taken = releases.stream().filter(r -> r.endpoint().equals(endpoint)).count();
    return release(endpoint, slots - taken, now);
  }

  /**
   * Releases a request for a slot that a request of this VM has left.
   *
   * @param endpoint ID of the endpoint
   * @param now current time, in ms
   * @return the request, if one can use the slot
   */
  public List<Waiting> releaseEnded(String endpoint, long now) {
    return release(endpoint, 1, now);
  }

  private List<Waiting> release(String endpoint, long slots, long now) {
    List<Waiting> released =
        waiting.stream()
            .filter(w -> now <= w.latestMs() && w.canUse(endpoint))
            .sorted(mostUrgentFirst(now))
            .limit(Math.max(0, slots))
            .toList();
    waiting.removeAll(released);
    released.forEach(w -> releases.addLast(new Release(endpoint, now)));
    return released;
  }

  /**
   * Releases one request in each interval although no slot is known to be free: the report may have
   * gone to another VM.
   *
   * @param now current time, in ms
   * @return the request, if one is due
   */
  public Optional<Waiting> releaseUnreported(long now) {
    if (now < unreportedMs + intervalMs) {
      return Optional.empty();
    }
    Optional<Waiting> next =
        waiting.stream()
            .filter(w -> w.unreportedFromMs() <= now && now <= w.latestMs())
            .min(mostUrgentFirst(now));
    next.ifPresent(
        w -> {
          unreportedMs = now;
          waiting.remove(w);
        });
    return next;
  }

  /**
   * Removes the requests that cannot be served in time any more.
   *
   * @param now current time, in ms
   * @return the requests, which are to be rejected
   */
  public List<Waiting> removeLate(long now) {
    List<Waiting> late = waiting.stream().filter(w -> w.latestMs() < now).toList();
    waiting.removeAll(late);
    return late;
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param request the request
   */
  public void remove(Waiting request) {
    waiting.remove(request);
  }

  /**
   * Returns when a request is to be released or removed without a free slot.
   *
   * @return time in ms, if requests wait
   */
  public OptionalLong nextMs() {
    return waiting.stream()
        .mapToLong(
            w ->
                Math.min(
                    w.latestMs() + 1, Math.max(w.unreportedFromMs(), unreportedMs + intervalMs)))
        .min();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number of requests
   */
  public int size() {
    return waiting.size();
  }

  private static Comparator<Waiting> mostUrgentFirst(long now) {
    return Comparator.comparingLong(w -> w.urgency().dueMs(now));
  }
}
