package io.kumquatspindle.cli;

import io.kumquatspindle.api.time.MonotonicClock;
import java.io.InputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.UUID;
import java.util.function.Supplier;

/**
 * What a command works with; tests replace its parts.
 *
 * @param in standard input
 * @param out standard output
 * @param err standard error
 * @param logs opens the log service
 * @param admin reads admin pages
 * @param clock measures time limits
 * @param pause waits between attempts
 * @param filingIds gives random filing identifiers
 */
record Environment(
    InputStream in,
    PrintStream out,
    PrintStream err,
    LogConnector logs,
    AdminClient admin,
    MonotonicClock clock,
    Pause pause,
    Supplier<String> filingIds) {

  /** Waits. */
  @FunctionalInterface
  interface Pause {
    void sleep(Duration duration) throws InterruptedException;
  }

  /** Returns the environment of a process. */
  static Environment system(LogConnector logs) {
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
