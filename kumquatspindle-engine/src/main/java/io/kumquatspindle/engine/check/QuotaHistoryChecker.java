package io.kumquatspindle.engine.check;

import io.kumquatspindle.api.model.CustomerName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that in every window of {@code t} seconds a customer was admitted at most {@code rate x t
 * + burst} tokens over all VMs (C7). Exact integer arithmetic in thousandths of a token.
 */
public final class QuotaHistoryChecker {
  private static final long MILLI = 1_000;

  private final Map<CustomerName, Limit> limits = new HashMap<>();

  /**
   * Sets the limits of a customer.
   *
   * @param customer the customer
   * @param tokensPerSecond its rate, in tokens a second
   * @param burstTokens its burst, in tokens
   * @return this checker
   */
  public QuotaHistoryChecker limit(CustomerName customer, long tokensPerSecond, long burstTokens) {
    limits.put(customer, new Limit(tokensPerSecond, burstTokens));
    return this;
  }

  /**
   * Checks a history.
   *
   * @param admissions admissions of all VMs, in any order, on one clock
   * @return one line for each admission that ends a window with too many tokens
   */
  public List<String> faults(List<Admission> admissions) {
    List<String> faults = new ArrayList<>();
    Map<CustomerName, Excess> excess = new HashMap<>();
    List<Admission> sorted = new ArrayList<>(admissions);
    sorted.sort(Comparator.comparingLong(Admission::timeMs));
    for (Admission a : sorted) {
      Limit limit = limits.getOrDefault(a.customer(), new Limit(0, 0));
      Excess e = excess.computeIfAbsent(a.customer(), k -> new Excess());
      long over = e.add(a, limit);
      if (over > 0) {
        faults.add(
            a.customer() + " at " + a.timeMs() + " ms: " + over + " thousandths of a token over");
      }
    }
    return faults;
  }

  /**
   * Tokens that a customer was charged.
   *
   * @param customer the customer
   * @param timeMs when, in milliseconds
   * @param tokens tokens charged; negative for tokens that were returned unused
   */
  public record Admission(CustomerName customer, long timeMs, long tokens) {}

  private record Limit(long tokensPerSecond, long burstTokens) {}

  /** The most tokens beyond the rate in any window that ends at the last admission. */
  private static final class Excess {
    private long milliTokens;
    private long lastMs;

    private long add(Admission a, Limit limit) {
      long paid = limit.tokensPerSecond() * (a.timeMs() - lastMs);
      lastMs = a.timeMs();
      milliTokens = Math.max(0, Math.max(0, milliTokens - paid) + a.tokens() * MILLI);
      return milliTokens - limit.burstTokens() * MILLI;
    }
  }
}
