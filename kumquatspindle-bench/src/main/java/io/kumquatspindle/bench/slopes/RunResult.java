package io.kumquatspindle.bench.slopes;

import java.util.Map;

/**
 * Result of a run.
 *
 * @param row the size and load of the run
 * @param means the mean of each metric over the VMs; cumulative metrics as rates per second, gauges
 *     with their value at the end
 */
record RunResult(Row row, Map<String, Double> means) {

  double mean(String name) {
    return means.getOrDefault(name, 0.0);
  }

  /** Returns the sum of the means of all metrics whose names start with a prefix. */
  double sumOfMeans(String prefix) {
    return means.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }
}
