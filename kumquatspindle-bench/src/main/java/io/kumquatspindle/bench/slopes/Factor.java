package io.kumquatspindle.bench.slopes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Size or load parameter that is varied while the other ones stay at their base values. */
enum Factor {
  VMS("VMs", r -> r.vms(), r -> r.withVms(0), 350),
  DOMAINS("failure domains", r -> r.domains(), r -> r.withDomains(0), 9),
  ARTIFACTS("models and adapters", r -> r.artifacts(), r -> r.withArtifacts(0), 4_520),
  ENDPOINTS("endpoints", r -> r.endpoints(), r -> r.withEndpoints(0), 610),
  POLLED(
      "endpoints for each VM",
      r -> (double) r.endpoints() / r.vms(),
      r -> r.withVms(0).withEndpoints(0),
      610 / 350.0),
  LOADS("loads/s", Row::loadsPerSecond, r -> r.withLoads(0), 1.4),
  // 1,500 changes per day, all within a tenth of the day.
  CHANGES("changes/min", Row::changesPerMinute, r -> r.withChanges(0), 10.4);

  final String title;
  final ToDoubleFunction<Row> value;
  private final Function<Row, Row> withoutFactor;

  /** The value that is expected in two years. */
  final double expected;

  Factor(
      String title,
      ToDoubleFunction<Row> value,
      Function<Row, Row> withoutFactor,
      double expected) {
    this.title = title;
    this.value = value;
    this.withoutFactor = withoutFactor;
    this.expected = expected;
  }

  /** Returns the results that differ from the base only in this factor, including the base. */
  List<RunResult> select(Row base, List<RunResult> all) {
    List<RunResult> result = new ArrayList<>();
    for (RunResult r : all) {
      if (withoutFactor.apply(r.row()).equals(withoutFactor.apply(base))) {
        result.add(r);
      }
    }
    result.sort(Comparator.comparingDouble(r -> value.applyAsDouble(r.row())));
    return result;
  }
}
