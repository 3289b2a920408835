package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.RetryBudgetShare;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.NodeSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** Limits the retries to each service by a budget of its own. */
final class RetryBudgets {
  private final Map<String, RetryBudgetShare> byService = new HashMap<>();
  private final NodeContext node;
  private final IntSupplier vmCount;

  RetryBudgets(NodeContext node, IntSupplier vmCount) {
    this.node = node;
    this.vmCount = vmCount;
  }

  void recordRequest(String service) {
    budget(service).recordRequest(node.now());
  }

  boolean tryRetry(String service) {
    return budget(service).tryRetry(Math.max(1, vmCount.getAsInt()), node.now());
  }

  private RetryBudgetShare budget(String service) {
    NodeSettings settings = node.settings();
    return byService.computeIfAbsent(
        service,
        n ->
            new RetryBudgetShare(
                settings.budgetWindowMs(), settings.budgetRatio(), settings.budgetExtra()));
  }
}
