package io.kumquatspindle.api.platform;

/** The outcome of an append to a log stream. */
public sealed interface AppendResult {

  /**
   * The record was appended.
   *
   * @param offset its offset
   */
  record Appended(long offset) implements AppendResult {}

  /**
   * The record was certainly not appended.
   *
   * @param reason the reason
   */
  record NotAppended(String reason) implements AppendResult {}

  /**
   * The record may have been appended; only reading the stream can tell.
   *
   * @param reason why the outcome is unknown
   */
  record Unknown(String reason) implements AppendResult {}
}
