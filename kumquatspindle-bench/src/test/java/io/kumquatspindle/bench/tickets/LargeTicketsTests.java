package io.kumquatspindle.bench.tickets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.engine.config.ConfigurationStateMachine;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Large tickets")
class LargeTicketsTests {
  private static final FailureDomain DOMAIN = FailureDomain.of("domain-1");

  private static ConfigurationStateMachine apply(ConfigurationStateMachine fold, Ticket ticket) {
    LogRecord record = new LogRecord(fold.nextOffset(), 1, Json.encode(ticket));
    ConfigurationStateMachine.Outcome step = fold.apply(record);
    return assertInstanceOf(ConfigurationStateMachine.Outcome.Accepted.class, step, step::toString)
        .stateMachine();
  }

  @Test
  @DisplayName("are accepted at the expected size, and so are the tickets that change them")
  void acceptsExpectedSize() {
    EndpointSpec endpoint =
        new EndpointSpec(
            EndpointName.of("engine-1"),
            DOMAIN,
            "http://127.0.0.1:9000",
            EndpointSpec.Kind.ENGINE,
            80_000,
            true,
            false);
    Ticket first = LargeTickets.initialTicket(List.of(DOMAIN), List.of(endpoint), 4_520);
    ConfigurationStateMachine fold = apply(ConfigurationStateMachine.initial(), first);
    assertEquals(904, fold.configuration().models().size());
    assertEquals(3_616, fold.configuration().adapters().size());
    fold = apply(fold, LargeTickets.adapterChange(2, 4_520));
    fold = apply(fold, LargeTickets.adapterChange(3, 4_520));
    assertEquals(3, fold.configuration().number());
  }
}
