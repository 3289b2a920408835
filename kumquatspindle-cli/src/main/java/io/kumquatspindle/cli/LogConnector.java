package io.kumquatspindle.cli;

import io.kumquatspindle.api.platform.LogService;

/** Opens the log service. */
@FunctionalInterface
interface LogConnector {

  /** Returns the log service at a base URL, without contacting it. */
  LogService connect(String url);
}
