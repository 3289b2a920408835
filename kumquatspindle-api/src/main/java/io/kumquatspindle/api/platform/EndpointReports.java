package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import java.util.Optional;

/** Reads what endpoints report, which lags. */
public interface EndpointReports {

  /**
   * Reads an endpoint's report.
   *
   * @param endpoint the endpoint
   * @return its report, or empty if it does not answer
   */
  Optional<EndpointReport> read(EndpointSpec endpoint);
}
