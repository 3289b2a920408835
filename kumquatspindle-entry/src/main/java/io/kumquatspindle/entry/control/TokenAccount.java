package io.kumquatspindle.entry.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Tokens of one customer that this VM may spend. A negative level is a debt.
 *
 * <p>Requests that find the account dry wait in order of arrival. Without the order, a later
 * request could take the tokens that control granted for an earlier one, which would then be
 * refused.
 */
final class TokenAccount {
  /** A request that waits for tokens; completes with empty when it has them. */
  record Taker(long tokens, CompletableFuture<Optional<Long>> taken) {}

  private final ArrayDeque<Taker> takers = new ArrayDeque<>();
  private long level;
  private long demandThisTick;
  private long demandLastTick;
  private boolean refilling;

  synchronized Taker take(long tokens) {
    demandThisTick += tokens;
    Taker taker = new Taker(tokens, new CompletableFuture<>());
    if (takers.isEmpty() && level >= tokens) {
      level -= tokens;
      taker.taken().complete(Optional.empty());
    } else {
      takers.addLast(taker);
    }
    return taker;
  }

  void give(long tokens) {
    add(tokens).forEach(t -> t.taken().complete(Optional.empty()));
  }

  // Ends the wait of a taker that has got nothing.
  void refuse(Taker taker, long retryAfterMs) {
    boolean waited;
    synchronized (this) {
      waited = takers.remove(taker);
    }
    if (waited) {
      taker.taken().complete(Optional.of(retryAfterMs));
      // The next one may need less.
      give(0);
    }
  }

  // Tokens to ask for on behalf of a taker that has just begun to wait.
  synchronized long missing(Taker taker) {
    long others = takers.stream().mapToLong(Taker::tokens).sum() - taker.tokens();
    return Math.max(1, taker.tokens() - Math.max(level - others, Math.min(level, 0)));
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

  // Takes out what the customer does not need here: everything after an idle tick, or a debt.
  synchronized long takeSurplus() {
    boolean idle = demandThisTick == 0 && demandLastTick == 0 && takers.isEmpty();
    demandLastTick = demandThisTick;
    demandThisTick = 0;
    return idle || level < 0 ? takeAll() : 0;
  }

  synchronized long takeAll() {
    long all = level;
    level = 0;
    return all;
  }

  private synchronized List<Taker> add(long tokens) {
    level += tokens;
    List<Taker> served = new ArrayList<>();
    while (!takers.isEmpty() && level >= takers.peekFirst().tokens()) {
      Taker next = takers.pollFirst();
      level -= next.tokens();
      served.add(next);
    }
    return served;
  }
}
