package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.entry.observe.EntryMetrics;
import io.kumquatspindle.entry.observe.Traces;
import java.util.concurrent.Executor;

/**
 * Process-wide services for request handling.
 *
 * @param clock the clock
 * @param timers the timer service
 * @param executor runs tasks that must not run on a timer or I/O thread
 * @param traces creates spans
 * @param metrics metrics of the program
 */
public record RequestEnvironment(
    MonotonicClock clock,
    TimerService timers,
    Executor executor,
    Traces traces,
    EntryMetrics metrics) {}
