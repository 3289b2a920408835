package io.kumquatspindle.cli;

import io.kumquatspindle.api.platform.LogService;

/** Creates clients of the log service. */
@FunctionalInterface
interface LogServiceFactory {

  /** Returns a client of the log service at a base URL, without connecting to it. */
  LogService create(String url);
}
