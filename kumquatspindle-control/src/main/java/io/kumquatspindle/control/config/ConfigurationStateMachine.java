package io.kumquatspindle.control.config;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.control.state.StreamStateMachine;
import io.kumquatspindle.engine.config.ConfigurationFold;
import java.io.IOException;

/** The state machine of the tickets stream; its state is the configuration. */
final class ConfigurationStateMachine implements StreamStateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ConfigurationFold fold = ConfigurationFold.initial();

  Configuration configuration() {
    return fold.configuration();
  }

  @Override
  public long nextOffset() {
    return fold.nextOffset();
  }

  @Override
  public void apply(LogRecord r) {
    ConfigurationFold.Outcome step = fold.apply(r);
    if (step instanceof ConfigurationFold.Outcome.Accepted accepted) {
      logger.atInfo().log(
          "applied ticket %d by %s at offset %d",
          accepted.ticket().number(), accepted.ticket().author(), r.offset());
      fold = accepted.fold();
    } else if (step instanceof ConfigurationFold.Outcome.Ignored ignored) {
      logger.atInfo().log("ignored tickets record at offset %d: %s", r.offset(), ignored.reason());
      fold = ignored.fold();
    }
  }

  @Override
  public byte[] state() {
    return Json.encode(fold.configuration());
  }

  @Override
  public void restore(long offset, byte[] state) throws IOException {
    fold = ConfigurationFold.of(offset, Json.decode(state, Configuration.class));
  }
}
