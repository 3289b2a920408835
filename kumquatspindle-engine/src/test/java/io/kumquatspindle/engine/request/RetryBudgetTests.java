package io.kumquatspindle.engine.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("RetryBudget")
class RetryBudgetTests {

  @Property(tries = 50)
  @DisplayName(
      "allows retries of a tenth of the requests, so that retries cannot multiply an overload")
  void allowsTenth(@ForAll @IntRange(max = 500) int requests) {
    RetryBudget budget = new RetryBudget(0);
    for (int i = 0; i < requests; i++) {
      budget.recordRequest(i);
    }
    int allowed = 0;
    while (budget.tryAcquireRetry(requests)) {
      allowed++;
    }
    assertEquals(Math.max(3, requests / 10), allowed);
  }

  @Test
  @DisplayName("forgets retries after the window, also after a long time without requests")
  void forgetsAfterWindow() {
    RetryBudget budget = new RetryBudget(0);
    for (int i = 0; i < RetryBudget.MIN_RETRIES; i++) {
      assertTrue(budget.tryAcquireRetry(500));
    }
    assertFalse(budget.tryAcquireRetry(9_999));
    assertTrue(budget.tryAcquireRetry(10_000));
    assertTrue(budget.tryAcquireRetry(Long.MAX_VALUE / 2));
  }
}
