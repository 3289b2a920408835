package io.kumquatspindle.engine.config;

import static org.junit.jupiter.api.Assertions.fail;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.platform.LogRecord;
import java.nio.charset.StandardCharsets;

/** Tickets and records for tests. */
final class Tickets {
  static final String BASE =
      """
      {"number":1,"filing":"f1","author":"ann",
       "limits":{"failureDomains":["a","b"],"slotsPerDomain":4,"storeLoadsAtOnce":4,
                 "storeLoadsPerSecond":4.5,"adapterLoadsAtOnce":30},
       "endpoints":[
         {"name":"e1","failureDomain":"a","url":"http://127.0.0.1:9001","kind":"ENGINE",
          "memoryMb":80000},
         {"name":"s1","failureDomain":"b","url":"http://[::1]:9002","kind":"SERVICE"}],
       "models":[{"name":"m1","memoryMb":30000,"maxReplicas":2}],
       "adapters":[{"name":"a1","model":"m1","memoryMb":200,"maxReplicas":3}],
       "services":[{"name":"book","endpoints":["s1"],"tokensPerCall":5}],
       "customers":[{"name":"c1","tokensPerSecond":100,"burstTokens":500,"artifacts":["m1"]}],
       "keys":[{"hash":"%s","customer":"c1"}],
       "openRoutes":[{"path":"/public/status","service":"book","servicePath":"/status"}]}
      """
          .formatted("0".repeat(64));

  private Tickets() {}

  /** Decodes a ticket in the same way as {@link ConfigurationStateMachine}. */
  static Ticket ticket(String json) {
    return TicketCodec.decode(bytes(json)).fold(t -> t, f -> fail(f.toString()));
  }

  /** Returns the configuration after the ticket {@link #BASE}. */
  static Configuration base() {
    return ConfigurationChange.apply(Configuration.EMPTY, ticket(BASE));
  }

  static LogRecord record(long offset, String json) {
    return new LogRecord(offset, offset * 1000, bytes(json));
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
