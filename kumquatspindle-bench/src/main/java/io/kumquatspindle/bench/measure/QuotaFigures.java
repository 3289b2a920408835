package io.kumquatspindle.bench.measure;

import java.util.List;

/**
 * Accuracy of quota enforcement, compared with a single token bucket per customer for the whole
 * fleet.
 *
 * @param insideRate the number of requests that the single bucket would have admitted
 * @param refusedInsideRate the number of those requests that were rejected with a rate error
 * @param worstShare the minimum over all customers of the tokens received, as a fraction of the
 *     tokens that the customer was entitled to
 * @param overAdmitted the maximum number of tokens that a customer received beyond its rate and
 *     burst in any window
 */
record QuotaFigures(int insideRate, int refusedInsideRate, double worstShare, double overAdmitted) {

  // Tolerance for the varying delay between sending a request and its arrival at an engine.
  private static final long JITTER_MS = 100;

  static QuotaFigures of(List<RequestOutcome> outcomes) {
    int inside = 0;
    int refused = 0;
    double worst = 1;
    double over = 0;
    for (int index = 0; index < Workload.CUSTOMERS; index++) {
      CustomerTally tally = new CustomerTally(index);
      for (RequestOutcome outcome : outcomes) {
        if (outcome.arrival().customer() == index) {
          tally.add(outcome);
        }
      }
      inside += tally.insideRate;
      refused += tally.refusedInsideRate;
      worst = Math.min(worst, tally.share());
      over = Math.max(over, tally.overAdmitted);
    }
    return new QuotaFigures(inside, refused, worst, over);
  }

  double refusedFraction() {
    return insideRate == 0 ? 0 : (double) refusedInsideRate / insideRate;
  }

  private static final class CustomerTally {
    private final long rate;
    private final long burst;
    private double bucketTokens;
    private double excess;
    private long lastMs;
    private long entitledTokens;
    private long receivedTokens;
    private int insideRate;
    private int refusedInsideRate;
    private double overAdmitted;

    private CustomerTally(int index) {
      rate = Workload.tokensPerSecond(index);
      burst = Workload.burstTokens(index);
      bucketTokens = burst;
    }

    private void add(RequestOutcome outcome) {
      Arrival a = outcome.arrival();
      double accrued = rate * (a.timeMs() - lastMs) / 1_000.0;
      lastMs = a.timeMs();
      bucketTokens = Math.min(burst, bucketTokens + accrued);
      excess = Math.max(0, excess - accrued);
      boolean admitted = bucketTokens >= a.tokens();
      if (admitted) {
        bucketTokens -= a.tokens();
        insideRate++;
        entitledTokens += a.tokens();
        refusedInsideRate += outcome.refusedForRate() ? 1 : 0;
      }
      if (outcome.complete()) {
        receivedTokens += a.tokens();
        excess += a.tokens();
        overAdmitted = Math.max(overAdmitted, excess - burst - rate * JITTER_MS / 1_000.0);
      }
    }

    private double share() {
      return entitledTokens == 0 ? 1 : Math.min(1, (double) receivedTokens / entitledTokens);
    }
  }
}
