package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Holds the requests of one customer at one VM that wait for the customer's rate, the most urgent
 * first. All VMs see the common bucket run empty, and fill again, at about the same time.
 * Therefore, each VM releases its waiting requests at its part of the rate, and spends its part of
 * what is in the bucket over several cycles of digests.
 */
public final class CustomerQueue {
  private static final double MS_PER_SECOND = 1_000;

  /**
   * Time over which a VM spends its part of what is in the bucket, in ms. It must be longer than
   * digests are old, up to 1,200 ms: otherwise all VMs would spend the same tokens.
   */
  private static final double SPEND_LEVEL_MS = 2_400;

  /**
   * Time that a VM may be behind its part of the rate and catch up on, in ms; covers the interval
   * between two releases.
   */
  private static final double MAX_CATCH_UP_MS = 50;

  /**
   * Part of this VM's release rate that requests without time to wait may draw on before those that
   * wait. At five times the rate, they are served as often as without a queue; with the whole rate,
   * a third fewer of the waiting requests are released in time.
   */
  private static final double DIRECT_PART = 0.5;

  /** Time for which the part of requests without time to wait is kept for them, in ms. */
  private static final double DIRECT_CATCH_UP_MS = 1_000;

  private final DistributedTokenBucket bucket;
  private final List<Waiting> waiting = new ArrayList<>();
  private final ReturnTimes returnTimes = new ReturnTimes();
  private final DoubleSupplier random;

  /** What this VM may release by its part of the rate; negative after a release. */
  private double credit;

  /** What requests without time to wait may draw; negative after one has drawn. */
  private double directCredit;

  private long creditMs = Long.MIN_VALUE;

  /** A request that waits. */
  public interface Waiting {
    /**
     * Returns what the request costs.
     *
     * @return cost in the unit of the rate
     */
    double cost();

    /**
     * Returns how urgent the request is.
     *
     * @return its urgency
     */
    RequestUrgency urgency();

    /**
     * Returns the usual time from the release of the request to the begin of its response.
     *
     * @return time in ms; 0 if unknown
     */
    long usualMs();

    /**
     * Returns until when the request may wait, so that its response can begin by its objective.
     *
     * @return time in ms
     */
    default long latestMs() {
      return Math.min(urgency().goalMs() - usualMs(), urgency().deadlineMs());
    }
  }

  /**
   * The shares of the rate that apply at a moment.
   *
   * @param reachable share available to this VM and its reachable peers, 0 to 1
   * @param equal equal part of the rate for each known VM, 0 to 1
   */
  public record Shares(double reachable, double equal) {}

  /** What happens to a request that arrives. */
  public enum Outcome {
    /** It was charged and may proceed. */
    ADMITTED,
    /** It waits. */
    WAITS,
    /** It cannot be served before its objective. */
    REFUSED
  }

  /**
   * The decision about a request that arrives.
   *
   * @param outcome what happens to it
   * @param delayMs predicted wait, or when a refused caller should return, in ms
   */
  public record Decision(Outcome outcome, long delayMs) {}

  /** A waiting request with its predicted wait. */
  private record Predicted(Waiting request, double delayMs) {}

  /**
   * Creates an empty queue.
   *
   * @param bucket limits the rate of the customer
   * @param random returns random numbers, at least 0 and less than 1
   */
  public CustomerQueue(DistributedTokenBucket bucket, DoubleSupplier random) {
    this.bucket = bucket;
    this.random = random;
  }

  /**
   * Admits a request, lets it wait or refuses it. It waits if it can be released in time for its
   * response to begin by its objective, and if no waiting request misses that time because of it:
   * what was told to wait in time is kept, whatever the priorities. A request whose objective
   * leaves no time to wait draws first on what the bucket holds.
   *
   * @param request the request
   * @param mayWait whether there is memory for another waiting request
   * @param shares the shares that apply
   * @param now current time, in ms
   * @return the decision
   */
  public Decision offer(Waiting request, boolean mayWait, Shares shares, long now) {
    if (waiting.isEmpty() && bucket.tryConsume(request.cost(), shares.reachable(), now)) {
      return new Decision(Outcome.ADMITTED, 0);
    }
    if (waiting.isEmpty()) {
      // The queues of all VMs begin at about the same time, and must not have their first releases
      // together: a rate of few requests would be exceeded many times over.
      earnCredit(shares, now);
      credit = Math.min(credit, -random.getAsDouble() * request.cost());
    }
    double delayMs = delayMs(request, shares, now);
    boolean inTime = now + delayMs <= request.latestMs();
    if (!inTime && drawsDirectly(request, shares, now)) {
      return new Decision(Outcome.ADMITTED, 0);
    }
    if (mayWait && inTime && !delaysOthers(request, shares, now)) {
      waiting.add(request);
      return new Decision(Outcome.WAITS, (long) Math.ceil(delayMs));
    }
    return new Decision(Outcome.REFUSED, retryAfterMs(request, delayMs, shares, now));
  }

  /**
   * Charges a request whose objective leaves less time than this VM's next turn takes, if the
   * bucket holds its cost. The waiting requests, which have more time, are released later by that.
   */
  private boolean drawsDirectly(Waiting request, Shares shares, long now) {
    double turnMs = startDelayMs(shares, now) + request.cost() / ownRatePerMs(shares, now);
    boolean noTime = request.latestMs() - now < turnMs;
    if (!noTime
        || directCredit < 0
        || !bucket.tryConsume(request.cost(), shares.reachable(), now)) {
      return false;
    }
    directCredit -= request.cost();
    credit -= request.cost();
    return true;
  }

  /**
   * Returns when the caller of a request that cannot wait should return, and reserves that time.
   *
   * @param request the request
   * @param shares the shares that apply
   * @param now current time, in ms
   * @return time from now in ms
   */
  public long retryAfterMs(Waiting request, Shares shares, long now) {
    return retryAfterMs(request, delayMs(request, shares, now), shares, now);
  }

  private long retryAfterMs(Waiting request, double delayMs, Shares shares, long now) {
    long lengthMs = (long) Math.ceil(request.cost() / ownRatePerMs(shares, now));
    // The queue has room for the request when its wait ends in time, counted from its return.
    double waitMs = Math.max(0, request.latestMs() - request.urgency().arrivedMs());
    long roomMs = now + (long) Math.ceil(Math.max(0, delayMs - waitMs));
    return returnTimes.next(roomMs, lengthMs, request.urgency().deadlineMs(), now);
  }

  /**
   * Charges the requests whose turn has come, and removes them.
   *
   * @param shares the shares that apply
   * @param now current time, in ms
   * @return the requests, which are to proceed in this order
   */
  public List<Waiting> release(Shares shares, long now) {
    List<Waiting> released = new ArrayList<>();
    earnCredit(shares, now);
    while (!waiting.isEmpty() && (credit >= 0 || bucket.ratePerS() <= 0)) {
      Waiting next = waiting.stream().min(mostUrgentFirst(now)).orElseThrow();
      if (!bucket.tryConsumeWaiting(next.cost(), shares.reachable(), now)) {
        break;
      }
      credit -= next.cost();
      waiting.remove(next);
      released.add(next);
    }
    return released;
  }

  private void earnCredit(Shares shares, long now) {
    if (creditMs != Long.MIN_VALUE && bucket.ratePerS() > 0) {
      double level = Math.max(0, bucket.level(shares.reachable(), now));
      double perMs = ownRatePerMs(shares, now) + level * ownPart(shares, now) / SPEND_LEVEL_MS;
      credit = Math.min(perMs * MAX_CATCH_UP_MS, credit + perMs * (now - creditMs));
      double directPerMs = DIRECT_PART * perMs;
      directCredit =
          Math.min(directPerMs * DIRECT_CATCH_UP_MS, directCredit + directPerMs * (now - creditMs));
    }
    creditMs = now;
  }

  /**
   * Removes the requests that have waited as long as they may, and those that cannot be released
   * before their deadlines any more.
   *
   * @param marginMs time that a request needs before its deadline, in ms
   * @param shares the shares that apply
   * @param now current time, in ms
   * @return the requests, which are to be rejected
   */
  public List<Waiting> removeLate(long marginMs, Shares shares, long now) {
    List<Waiting> late = new ArrayList<>();
    double perMs = ownRatePerMs(shares, now);
    double delayMs = startDelayMs(shares, now);
    for (Waiting w : inOrder(now)) {
      if (now > w.latestMs() || now + delayMs + marginMs > w.urgency().deadlineMs()) {
        late.add(w);
      } else {
        delayMs += w.cost() / perMs;
      }
    }
    waiting.removeAll(late);
    return late;
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param request the request
   * @return whether it was waiting
   */
  public boolean remove(Waiting request) {
    return waiting.remove(request);
  }

  /**
   * Returns the waiting requests.
   *
   * @return a copy of the list, in no particular order
   */
  public List<Waiting> waiting() {
    return List.copyOf(waiting);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return number of requests
   */
  public int size() {
    return waiting.size();
  }

  /** Returns the predicted wait of a request that arrives, in ms. */
  private double delayMs(Waiting request, Shares shares, long now) {
    long dueMs = request.urgency().dueMs(now);
    double ahead =
        waiting.stream()
            .filter(w -> w.urgency().dueMs(now) <= dueMs)
            .mapToDouble(Waiting::cost)
            .sum();
    return startDelayMs(shares, now) + ahead / ownRatePerMs(shares, now);
  }

  /** Returns whether a request that arrives makes another one miss its objective. */
  private boolean delaysOthers(Waiting request, Shares shares, long now) {
    long dueMs = request.urgency().dueMs(now);
    double addedMs = request.cost() / ownRatePerMs(shares, now);
    return predict(shares, now).stream()
        .filter(p -> p.request().urgency().dueMs(now) > dueMs)
        .anyMatch(
            p -> {
              double leftMs = p.request().latestMs() - now;
              return p.delayMs() <= leftMs && p.delayMs() + addedMs > leftMs;
            });
  }

  private List<Predicted> predict(Shares shares, long now) {
    List<Predicted> predicted = new ArrayList<>();
    double perMs = ownRatePerMs(shares, now);
    double delayMs = startDelayMs(shares, now);
    for (Waiting w : inOrder(now)) {
      predicted.add(new Predicted(w, delayMs));
      delayMs += w.cost() / perMs;
    }
    return predicted;
  }

  private List<Waiting> inOrder(long now) {
    return waiting.stream().sorted(mostUrgentFirst(now)).toList();
  }

  private static Comparator<Waiting> mostUrgentFirst(long now) {
    return Comparator.comparingLong(w -> w.urgency().dueMs(now));
  }

  /** Returns the time until the next release: all VMs repay the debt, then each has its turn. */
  private double startDelayMs(Shares shares, long now) {
    if (bucket.ratePerS() <= 0) {
      return 0;
    }
    double debt = Math.max(0, -bucket.level(shares.reachable(), now));
    double debtMs = debt * MS_PER_SECOND / (bucket.ratePerS() * shares.reachable());
    earnCredit(shares, now);
    return Math.max(debtMs, -credit / ownRatePerMs(shares, now));
  }

  private double ownRatePerMs(Shares shares, long now) {
    return bucket.ratePerS() <= 0
        ? Double.POSITIVE_INFINITY
        : bucket.ratePerS() * ownPart(shares, now) / MS_PER_SECOND;
  }

  /** Returns the part of the rate at which this VM releases, at least an equal one. */
  private double ownPart(Shares shares, long now) {
    return Math.max(shares.equal(), shares.reachable() * bucket.recentOwnPart(now));
  }
}
