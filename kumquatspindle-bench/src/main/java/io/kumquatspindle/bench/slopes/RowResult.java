package io.kumquatspindle.bench.slopes;

import java.util.Map;

/**
 * What one run showed.
 *
 * @param row size and load
 * @param means mean over the VMs of each metric; sums as change a second, levels at the end
 */
record RowResult(Row row, Map<String, Double> means) {

  double mean(String name) {
    return means.getOrDefault(name, 0.0);
  }

  /** Returns the sum of all metrics whose name starts with a text. */
  double meanOfAll(String prefix) {
    return means.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }
}
