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
  record Taker(long tokens, CompletableFuture<Optional<Shortage>> taken) {}

  /**
   * Why a taker got nothing.
   *
   * @param retryMs when to try again, in milliseconds
   * @param unanswered whether control has not answered
   */
  record Shortage(long retryMs, boolean unanswered) {}

  private final ArrayDeque<Taker> takers = new ArrayDeque<>();
  private final ArrayDeque<Grant> grants = new ArrayDeque<>();
  private long level;
  private long owedToControl;
  private long demandThisTick;
  private long demandLastTick;
  private boolean refilling;

  synchronized Taker take(long tokens, long nowMs) {
    expire(nowMs);
    demandThisTick += tokens;
    Taker taker = new Taker(tokens, new CompletableFuture<>());
    if (takers.isEmpty() && level >= tokens) {
      spend(tokens);
      taker.taken().complete(Optional.empty());
    } else {
      takers.addLast(taker);
    }
    return taker;
  }

  /** Adds tokens that may be spent until a time; those that come too late go back to control. */
  void give(long tokens, long untilMs, long nowMs) {
    add(tokens, untilMs, nowMs).forEach(t -> t.taken().complete(Optional.empty()));
  }

  // Ends the wait of a taker that has got nothing.
  void refuse(Taker taker, Shortage shortage, long nowMs) {
    boolean waited;
    synchronized (this) {
      waited = takers.remove(taker);
    }
    if (waited) {
      taker.taken().complete(Optional.of(shortage));
      // The next one may need less.
      give(0, nowMs, nowMs);
    }
  }

  /** Notes unused tokens of a finished request, or an excess as a negative number. */
  synchronized void settle(long tokens) {
    owedToControl += tokens;
  }

  // Tokens to ask for on behalf of a taker that has just begun to wait.
  synchronized long missing(Taker taker) {
    long others = takers.stream().mapToLong(Taker::tokens).sum() - taker.tokens();
    return Math.max(1, taker.tokens() - Math.max(level - others, 0));
  }

  // Tokens to ask for now so that the next requests need not wait; 0 if none or if asked already.
  synchronized long startRefill() {
    long batch = Math.max(demandThisTick, demandLastTick);
    if (refilling || batch == 0 || level >= batch) {
      return 0;
    }
    refilling = true;
    return batch - level;
  }

  synchronized void endRefill() {
    refilling = false;
  }

  /** Ends a tick and takes out what is to go back to control; negative for an excess. */
  synchronized long takeReturns(long nowMs) {
    expire(nowMs);
    demandLastTick = demandThisTick;
    demandThisTick = 0;
    long all = owedToControl;
    owedToControl = 0;
    return all;
  }

  /** Takes out everything, for a stop. */
  synchronized long takeAll() {
    long all = level + owedToControl;
    grants.clear();
    level = 0;
    owedToControl = 0;
    return all;
  }

  private synchronized List<Taker> add(long tokens, long untilMs, long nowMs) {
    if (tokens > 0) {
      grants.addLast(new Grant(tokens, untilMs));
      level += tokens;
    }
    expire(nowMs);
    List<Taker> served = new ArrayList<>();
    while (!takers.isEmpty() && level >= takers.peekFirst().tokens()) {
      Taker next = takers.pollFirst();
      spend(next.tokens());
      served.add(next);
    }
    return served;
  }

  private void expire(long nowMs) {
    for (int i = grants.size(); i > 0; i--) {
      Grant g = grants.pollFirst();
      if (g.untilMs() <= nowMs) {
        level -= g.tokens();
        owedToControl += g.tokens();
      } else {
        grants.addLast(g);
      }
    }
  }

  private void spend(long tokens) {
    level -= tokens;
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
