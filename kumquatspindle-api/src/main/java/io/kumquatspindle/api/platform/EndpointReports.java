package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import java.util.Optional;

/** Reads the reports of endpoints, which lag behind their actual state. */
public interface EndpointReports {

  /**
   * Reads an endpoint's report.
   *
   * @param endpoint the endpoint
   * @return its report, or empty if it does not respond
   */
  Optional<EndpointReport> read(EndpointSpec endpoint);
}
