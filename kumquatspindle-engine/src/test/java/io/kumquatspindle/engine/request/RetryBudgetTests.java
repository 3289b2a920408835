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
  @DisplayName("allows a tenth of the requests, against retries that multiply an overload")
  void allowsTenth(@ForAll @IntRange(max = 500) int requests) {
    RetryBudget budget = new RetryBudget(0);
    for (int i = 0; i < requests; i++) {
      budget.request(i);
    }
    int allowed = 0;
    while (budget.tryRetry(requests)) {
      allowed++;
    }
    assertEquals(Math.max(3, requests / 10), allowed);
  }

  @Test
  @DisplayName("forgets retries after the window, also after a long silence")
  void forgetsAfterWindow() {
    RetryBudget budget = new RetryBudget(0);
    for (int i = 0; i < RetryBudget.MINIMUM; i++) {
      assertTrue(budget.tryRetry(500));
    }
    assertFalse(budget.tryRetry(9_999));
    assertTrue(budget.tryRetry(10_000));
    assertTrue(budget.tryRetry(Long.MAX_VALUE / 2));
  }
}
