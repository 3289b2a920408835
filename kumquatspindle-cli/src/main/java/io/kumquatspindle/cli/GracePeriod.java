package io.kumquatspindle.cli;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import java.util.Optional;

/**
 * Offline grace periods of keys: how long a VM continues to accept keys after its configuration was
 * last confirmed up to date.
 *
 * @param shortestSeconds shortest grace period of any customer, in seconds
 * @param longestSeconds longest grace period of any customer, in seconds
 * @param assumed whether the configuration could not be read and the default is assumed
 */
record GracePeriod(long shortestSeconds, long longestSeconds, boolean assumed) {

  static GracePeriod of(Optional<Configuration> configuration) {
    var seconds =
        configuration.stream()
            .flatMap(c -> c.customers().values().stream())
            .mapToLong(CustomerSpec::offlineGraceSeconds)
            .summaryStatistics();
    if (seconds.getCount() == 0) {
      long defaultSeconds = CustomerSpec.DEFAULT_OFFLINE_GRACE_SECONDS;
      return new GracePeriod(defaultSeconds, defaultSeconds, configuration.isEmpty());
    }
    return new GracePeriod(seconds.getMin(), seconds.getMax(), false);
  }

  /**
   * Returns the time in milliseconds until a VM that gets no further confirmation refuses the keys
   * of all customers; 0 if it already does.
   */
  long remainingMs(FleetView.Vm vm) {
    return Math.max(0, longestSeconds * 1000 - vm.sinceConfirmedMs());
  }
}
