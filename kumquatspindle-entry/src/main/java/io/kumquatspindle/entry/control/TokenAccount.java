package io.kumquatspindle.entry.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Tokens of one customer that this VM may spend.
 *
 * <p>Granted tokens end after a fixed time, because control refills its bucket while they are out;
 * what is left of them then goes back to control. Requests that find the account dry wait in order
 * of arrival. Without the order, a later request could take the tokens that control granted for an
 * earlier one, which would then be refused.
 */
final class TokenAccount {
  /** A request that waits for tokens; completes with empty when it has them. */
  record PendingAcquire(long tokens, CompletableFuture<Optional<Shortage>> result) {}

  /**
   * Why a taker got nothing.
   *
   * @param retryAfterMs when to try again, in milliseconds
   * @param noResponse whether control has not answered
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

  /** Adds tokens that may be spent until a time; those that come too late go back to control. */
  void credit(long tokens, long untilMs, long nowMs) {
    creditAndServe(tokens, untilMs, nowMs).forEach(t -> t.result().complete(Optional.empty()));
  }

  // Ends the wait of a taker that has got nothing.
  void reject(PendingAcquire pending, Shortage shortage, long nowMs) {
    boolean removed;
    synchronized (this) {
      removed = queue.remove(pending);
    }
    if (removed) {
      pending.result().complete(Optional.of(shortage));
      // The next one may need less.
      credit(0, nowMs, nowMs);
    }
  }

  /** Notes unused tokens of a finished request, or an excess as a negative number. */
  synchronized void settle(long tokens) {
    pendingReturn += tokens;
  }

  // Tokens to ask for on behalf of a taker that has just begun to wait.
  synchronized long shortfall(PendingAcquire pending) {
    long others = queue.stream().mapToLong(PendingAcquire::tokens).sum() - pending.tokens();
    return Math.max(1, pending.tokens() - Math.max(available - others, 0));
  }

  // Tokens to ask for now so that the next requests need not wait; 0 if none or if asked already.
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

  /** Ends a tick and takes out what is to go back to control; negative for an excess. */
  synchronized long drainReturns(long nowMs) {
    expire(nowMs);
    demandLastTick = demandThisTick;
    demandThisTick = 0;
    long all = pendingReturn;
    pendingReturn = 0;
    return all;
  }

  /** Takes out everything, for a stop. */
  synchronized long drainAll() {
    long all = available + pendingReturn;
    grants.clear();
    available = 0;
    pendingReturn = 0;
    return all;
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
