package io.kumquatspindle.engine.check;

import io.kumquatspindle.api.model.CustomerName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks invariant C7: in every window of {@code t} seconds, a customer is admitted at most {@code
 * rate x t + burst} tokens over all VMs. Uses exact integer arithmetic in thousandths of a token.
 */
public final class QuotaHistoryChecker {
  private static final long MILLITOKENS_PER_TOKEN = 1_000;

  private final Map<CustomerName, Limit> limits = new HashMap<>();

  /**
   * Sets the limits of a customer.
   *
   * @param customer the customer
   * @param tokensPerSecond its rate, in tokens per second
   * @param burstTokens its burst, in tokens
   * @return this checker
   */
  public QuotaHistoryChecker setLimit(
      CustomerName customer, long tokensPerSecond, long burstTokens) {
    limits.put(customer, new Limit(tokensPerSecond, burstTokens));
    return this;
  }

  /**
   * Checks a history.
   *
   * @param admissions admissions of all VMs, in any order, on one clock
   * @return one message for each admission that ends a window in which the limit is exceeded
   */
  public List<String> violations(List<Admission> admissions) {
    List<String> violations = new ArrayList<>();
    Map<CustomerName, ExcessTokens> excessByCustomer = new HashMap<>();
    List<Admission> sorted = new ArrayList<>(admissions);
    sorted.sort(Comparator.comparingLong(Admission::timeMs));
    for (Admission admission : sorted) {
      Limit limit = limits.getOrDefault(admission.customer(), new Limit(0, 0));
      ExcessTokens excess =
          excessByCustomer.computeIfAbsent(admission.customer(), k -> new ExcessTokens());
      long excessMilliTokens = excess.add(admission, limit);
      if (excessMilliTokens > 0) {
        violations.add(
            admission.customer()
                + " at "
                + admission.timeMs()
                + " ms: "
                + excessMilliTokens
                + " thousandths of a token over");
      }
    }
    return violations;
  }

  /**
   * Tokens charged to a customer.
   *
   * @param customer the customer
   * @param timeMs time of the charge, in milliseconds
   * @param tokens charged tokens; negative for tokens that were returned unused
   */
  public record Admission(CustomerName customer, long timeMs, long tokens) {}

  private record Limit(long tokensPerSecond, long burstTokens) {}

  /** Maximum tokens in excess of the rate, over all windows that end at the last admission. */
  private static final class ExcessTokens {
    private long milliTokens;
    private long lastMs;

    private long add(Admission admission, Limit limit) {
      long replenished = limit.tokensPerSecond() * (admission.timeMs() - lastMs);
      lastMs = admission.timeMs();
      milliTokens =
          Math.max(
              0,
              Math.max(0, milliTokens - replenished) + admission.tokens() * MILLITOKENS_PER_TOKEN);
      return milliTokens - limit.burstTokens() * MILLITOKENS_PER_TOKEN;
    }
  }
}
