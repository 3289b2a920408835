package io.kumquatspindle.cli;

import io.kumquatspindle.api.time.MonotonicClock;
import java.io.InputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.UUID;
import java.util.function.Supplier;

/**
 * The streams, clients and clock that a command uses. Tests replace them with fakes.
 *
 * @param in standard input
 * @param out standard output
 * @param err standard error
 * @param logs creates the client of the log service
 * @param admin client of the admin pages of controls
 * @param clock clock for time limits
 * @param pause sleeps between attempts
 * @param filingIds generates random filing identifiers
 */
record Environment(
    InputStream in,
    PrintStream out,
    PrintStream err,
    LogServiceFactory logs,
    AdminClient admin,
    MonotonicClock clock,
    Pause pause,
    Supplier<String> filingIds) {

  /** Sleeps for a duration; tests advance a fake clock instead. */
  @FunctionalInterface
  interface Pause {
    void sleep(Duration duration) throws InterruptedException;
  }

  /** Returns the environment with the standard streams, HTTP clients and the system clock. */
  static Environment system(LogServiceFactory logs) {
    return new Environment(
        System.in,
        System.out,
        System.err,
        logs,
        new HttpAdminClient(),
        MonotonicClock.system(),
        d -> Thread.sleep(d.toMillis()),
        () -> UUID.randomUUID().toString());
  }
}
