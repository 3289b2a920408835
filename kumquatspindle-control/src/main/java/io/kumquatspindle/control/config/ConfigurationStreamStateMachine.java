package io.kumquatspindle.control.config;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.control.state.StreamStateMachine;
import io.kumquatspindle.engine.config.ConfigurationStateMachine;
import java.io.IOException;

/** The state machine of the tickets stream; its state is the configuration. */
final class ConfigurationStreamStateMachine implements StreamStateMachine {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private ConfigurationStateMachine stateMachine = ConfigurationStateMachine.initial();

  Configuration configuration() {
    return stateMachine.configuration();
  }

  @Override
  public long nextOffset() {
    return stateMachine.nextOffset();
  }

  @Override
  public void apply(LogRecord r) {
    ConfigurationStateMachine.Outcome outcome = stateMachine.apply(r);
    if (outcome instanceof ConfigurationStateMachine.Outcome.Accepted accepted) {
      logger.atInfo().log(
          "applied ticket %d by %s at offset %d",
          accepted.ticket().number(), accepted.ticket().author(), r.offset());
      stateMachine = accepted.stateMachine();
    } else if (outcome instanceof ConfigurationStateMachine.Outcome.Ignored ignored) {
      logger.atInfo().log("ignored tickets record at offset %d: %s", r.offset(), ignored.reason());
      stateMachine = ignored.stateMachine();
    }
  }

  @Override
  public byte[] state() {
    return Json.encode(stateMachine.configuration());
  }

  @Override
  public void restore(long offset, byte[] state) throws IOException {
    stateMachine = ConfigurationStateMachine.of(offset, Json.decode(state, Configuration.class));
  }
}
