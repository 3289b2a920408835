package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import java.util.Optional;

/**
 * How long VMs without a recent confirmation go on serving keys.
 *
 * @param shortestSeconds grace time of the customer with the shortest, in seconds
 * @param longestSeconds grace time of the customer with the longest, in seconds
 * @param assumed whether the configuration was unreadable and the default is assumed
 */
record Grace(long shortestSeconds, long longestSeconds, boolean assumed) {

  static Grace of(Optional<Configuration> configuration) {
    var seconds =
        configuration.stream()
            .flatMap(c -> c.customers().values().stream())
            .mapToLong(CustomerSpec::offlineGraceSeconds)
            .summaryStatistics();
    if (seconds.getCount() == 0) {
      long standard = CustomerSpec.DEFAULT_OFFLINE_GRACE_SECONDS;
      return new Grace(standard, standard, configuration.isEmpty());
    }
    return new Grace(seconds.getMin(), seconds.getMax(), false);
  }

  /** Returns when the last key is refused at a VM, in milliseconds from now; 0 if it is. */
  long leftMs(FleetView.Vm vm) {
    return Math.max(0, longestSeconds * 1000 - vm.ageMs());
  }
}
