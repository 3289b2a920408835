package io.kumquatspindle.api.platform;

/**
 * A record of a log stream.
 *
 * @param offset position in the stream, from 0
 * @param timeMs when the log took the record, in milliseconds since the epoch
 * @param value the record's bytes
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
public record LogRecord(long offset, long timeMs, byte[] value) {}
