package io.kumquatspindle.cli;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import java.time.Duration;

/** Opens the log service. */
@FunctionalInterface
interface LogConnector {

  /** Returns the log service at a base URL, without contacting it. */
  LogService connect(String url);

  /** Returns the connector of a build without an HTTP client for the log: nothing is reachable. */
  static LogConnector unavailable() {
    return url -> new UnavailableLog("this build has no client for the log at " + url);
  }

  /** A log service that cannot be reached. */
  record UnavailableLog(String reason) implements LogService {
    @Override
    public AppendResult append(StreamName stream, byte[] value) {
      return new AppendResult.NotAppended(reason);
    }

    @Override
    public ReadResult read(StreamName stream, long from, int max, Duration wait) {
      return new ReadResult.Unavailable(reason);
    }
  }
}
