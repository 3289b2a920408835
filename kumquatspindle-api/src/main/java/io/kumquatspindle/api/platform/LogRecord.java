package io.kumquatspindle.api.platform;

/**
 * A record of a log stream.
 *
 * @param offset zero-based position in the stream
 * @param timeMs time at which the log accepted the record, in milliseconds since the epoch
 * @param value the record's bytes
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
public record LogRecord(long offset, long timeMs, byte[] value) {}
