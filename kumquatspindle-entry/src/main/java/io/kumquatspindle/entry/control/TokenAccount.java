package io.kumquatspindle.entry.control;

/** Tokens of one customer that this VM may spend. A negative level is a debt. */
final class TokenAccount {
  private long level;
  private long demandThisTick;
  private long demandLastTick;
  private boolean refilling;

  synchronized void demand(long tokens) {
    demandThisTick += tokens;
  }

  synchronized boolean take(long tokens) {
    if (level < tokens) {
      return false;
    }
    level -= tokens;
    return true;
  }

  synchronized void give(long tokens) {
    level += tokens;
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

  synchronized long missing(long tokens) {
    return Math.max(1, tokens - level);
  }

  // Takes out what the customer does not need here: everything after an idle tick, or a debt.
  synchronized long takeSurplus() {
    boolean idle = demandThisTick == 0 && demandLastTick == 0;
    demandLastTick = demandThisTick;
    demandThisTick = 0;
    return idle || level < 0 ? takeAll() : 0;
  }

  synchronized long takeAll() {
    long all = level;
    level = 0;
    return all;
  }
}
