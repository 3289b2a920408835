package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.SecondSendBudget;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.NodeSettings;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** The budgets for second sends, one for each service. */
final class SecondSends {
  private final Map<String, SecondSendBudget> byService = new HashMap<>();
  private final NodeContext node;
  private final IntSupplier vms;

  SecondSends(NodeContext node, IntSupplier vms) {
    this.node = node;
    this.vms = vms;
  }

  void request(String service) {
    budget(service).recordRequest(node.now());
  }

  boolean tryRepeat(String service) {
    return budget(service).tryRetry(Math.max(1, vms.getAsInt()), node.now());
  }

  private SecondSendBudget budget(String service) {
    NodeSettings s = node.settings();
    return byService.computeIfAbsent(
        service, n -> new SecondSendBudget(s.budgetWindowMs(), s.budgetRatio(), s.budgetExtra()));
  }
}
