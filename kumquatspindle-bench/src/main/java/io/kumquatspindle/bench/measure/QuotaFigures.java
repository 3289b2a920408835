package io.kumquatspindle.bench.measure;

import java.util.List;

/**
 * How customers fared beside one token bucket for the whole fleet.
 *
 * @param insideRate requests that the one bucket would have admitted
 * @param refusedInsideRate those of them that were refused for the rate
 * @param worstShare least part of the tokens it was due that a customer got
 * @param overAdmitted most tokens that a customer got beyond rate and burst in any window
 */
record QuotaFigures(int insideRate, int refusedInsideRate, double worstShare, double overAdmitted) {

  // Requests reach the engines a little later than they were sent, some more than others.
  private static final long JITTER_MS = 100;

  static QuotaFigures of(List<Served> served) {
    int inside = 0;
    int refused = 0;
    double worst = 1;
    double over = 0;
    for (int c = 0; c < Workload.CUSTOMERS; c++) {
      Customer customer = new Customer(c);
      for (Served s : served) {
        if (s.arrival().customer() == c) {
          customer.add(s);
        }
      }
      inside += customer.inside;
      refused += customer.refusedInside;
      worst = Math.min(worst, customer.share());
      over = Math.max(over, customer.over);
    }
    return new QuotaFigures(inside, refused, worst, over);
  }

  double refusedPart() {
    return insideRate == 0 ? 0 : (double) refusedInsideRate / insideRate;
  }

  private static final class Customer {
    private final long rate;
    private final long burst;
    private double level;
    private double excess;
    private long lastMs;
    private long due;
    private long got;
    private int inside;
    private int refusedInside;
    private double over;

    private Customer(int index) {
      rate = Workload.tokensPerSecond(index);
      burst = Workload.burstTokens(index);
      level = burst;
    }

    private void add(Served s) {
      Arrival a = s.arrival();
      double accrued = rate * (a.timeMs() - lastMs) / 1_000.0;
      lastMs = a.timeMs();
      level = Math.min(burst, level + accrued);
      excess = Math.max(0, excess - accrued);
      boolean admitted = level >= a.tokens();
      if (admitted) {
        level -= a.tokens();
        inside++;
        due += a.tokens();
        refusedInside += s.refusedForRate() ? 1 : 0;
      }
      if (s.complete()) {
        got += a.tokens();
        excess += a.tokens();
        over = Math.max(over, excess - burst - rate * JITTER_MS / 1_000.0);
      }
    }

    private double share() {
      return due == 0 ? 1 : Math.min(1, (double) got / due);
    }
  }
}
