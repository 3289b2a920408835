package io.kumquatspindle.bench.measure;

/**
 * Period during which an engine held an artifact. Times are milliseconds from the start of the run.
 *
 * @param engine the name of the engine
 * @param artifact the name of the model or adapter
 * @param fromMs the time at which it was loaded
 * @param untilMs the time at which it was unloaded, or the end of the run
 */
record LoadedSpan(String engine, String artifact, long fromMs, long untilMs) {}
