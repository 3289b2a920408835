package io.kumquatspindle.bench.measure;

/**
 * A time during which an engine held an artifact. Times are milliseconds from the start of the run.
 *
 * @param engine the engine
 * @param artifact the model or adapter
 * @param fromMs when it was loaded
 * @param untilMs when it was unloaded, or the end of the run
 */
record LoadedSpan(String engine, String artifact, long fromMs, long untilMs) {}
