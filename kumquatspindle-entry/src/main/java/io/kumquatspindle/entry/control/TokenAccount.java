package io.kumquatspindle.entry.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The tokens of one customer that control has granted to this VM.
 *
 * <p>Granted tokens expire after a fixed time, because control refills its bucket while they are
 * granted; unspent ones are then returned to control. Requests wait in order of arrival while the
 * account has too few tokens. Without this order, a later request could take the tokens that
 * control granted for an earlier one, which would then be rejected.
 */
final class TokenAccount {
  /** A request for tokens. The result is empty once the tokens have been spent on it. */
  record PendingAcquire(long tokens, CompletableFuture<Optional<Shortage>> result) {}

  /**
   * Why a request got no tokens.
   *
   * @param retryAfterMs time after which to try again, in milliseconds
   * @param noResponse whether control did not respond
   */
  record Shortage(long retryAfterMs, boolean noResponse) {}

  private final ArrayDeque<PendingAcquire> queue = new ArrayDeque<>();
  private final ArrayDeque<Grant> grants = new ArrayDeque<>();
  private long available;
  private long pendingReturn;
  private long demandThisTick;
  private long demandLastTick;
  private boolean refillPending;

  synchronized PendingAcquire acquire(long tokens, long nowMs) {
    expire(nowMs);
    demandThisTick += tokens;
    PendingAcquire pending = new PendingAcquire(tokens, new CompletableFuture<>());
    if (queue.isEmpty() && available >= tokens) {
      spend(tokens);
      pending.result().complete(Optional.empty());
    } else {
      queue.addLast(pending);
    }
    return pending;
  }

  /** Adds tokens that expire at a given time; expired ones are returned to control. */
  void credit(long tokens, long untilMs, long nowMs) {
    creditAndServe(tokens, untilMs, nowMs)
        .forEach(pending -> pending.result().complete(Optional.empty()));
  }

  // Ends the wait of a request that has got no tokens.
  void reject(PendingAcquire pending, Shortage shortage, long nowMs) {
    boolean removed;
    synchronized (this) {
      removed = queue.remove(pending);
    }
    if (removed) {
      pending.result().complete(Optional.of(shortage));
      // The next request in the queue may need fewer tokens.
      credit(0, nowMs, nowMs);
    }
  }

  /** Records the unused tokens of a finished request; negative if it used more than reserved. */
  synchronized void settle(long tokens) {
    pendingReturn += tokens;
  }

  // Returns how many tokens to request from control for a request that was just queued.
  synchronized long shortfall(PendingAcquire pending) {
    long otherDemand = queue.stream().mapToLong(PendingAcquire::tokens).sum() - pending.tokens();
    return Math.max(1, pending.tokens() - Math.max(available - otherDemand, 0));
  }

  // Returns how many tokens to request in advance, so that the next requests need not wait; 0 if
  // none are needed or a refill is pending.
  synchronized long startRefill() {
    long batch = Math.max(demandThisTick, demandLastTick);
    if (refillPending || batch == 0 || available >= batch) {
      return 0;
    }
    refillPending = true;
    return batch - available;
  }

  synchronized void endRefill() {
    refillPending = false;
  }

  /** Ends a tick and removes the tokens to return to control; negative for a debt. */
  synchronized long drainReturns(long nowMs) {
    expire(nowMs);
    demandLastTick = demandThisTick;
    demandThisTick = 0;
    long returned = pendingReturn;
    pendingReturn = 0;
    return returned;
  }

  /** Removes all tokens, for a shutdown. */
  synchronized long drainAll() {
    long returned = available + pendingReturn;
    grants.clear();
    available = 0;
    pendingReturn = 0;
    return returned;
  }

  private synchronized List<PendingAcquire> creditAndServe(long tokens, long untilMs, long nowMs) {
    if (tokens > 0) {
      grants.addLast(new Grant(tokens, untilMs));
      available += tokens;
    }
    expire(nowMs);
    List<PendingAcquire> served = new ArrayList<>();
    while (!queue.isEmpty() && available >= queue.peekFirst().tokens()) {
      PendingAcquire next = queue.pollFirst();
      spend(next.tokens());
      served.add(next);
    }
    return served;
  }

  private void expire(long nowMs) {
    for (int i = grants.size(); i > 0; i--) {
      Grant g = grants.pollFirst();
      if (g.untilMs() <= nowMs) {
        available -= g.tokens();
        pendingReturn += g.tokens();
      } else {
        grants.addLast(g);
      }
    }
  }

  private void spend(long tokens) {
    available -= tokens;
    long left = tokens;
    while (left > 0) {
      Grant g = grants.pollFirst();
      if (g.tokens() > left) {
        grants.addFirst(new Grant(g.tokens() - left, g.untilMs()));
        return;
      }
      left -= g.tokens();
    }
  }

  private record Grant(long tokens, long untilMs) {}
}
