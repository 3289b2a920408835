package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.entry.observe.EntryMetrics;
import io.kumquatspindle.entry.observe.Traces;
import java.util.concurrent.Executor;

/**
 * What the handling of requests needs from the process.
 *
 * @param clock the clock
 * @param timers the timer service
 * @param executor runs what must not run on a timer's or a connection's thread
 * @param traces traces
 * @param metrics measurements
 */
public record RequestEnvironment(
    MonotonicClock clock,
    TimerService timers,
    Executor executor,
    Traces traces,
    EntryMetrics metrics) {}
