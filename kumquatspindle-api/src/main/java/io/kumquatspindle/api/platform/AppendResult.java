package io.kumquatspindle.api.platform;

/** What is known about an append. */
public sealed interface AppendResult {

  /**
   * The record is in the log.
   *
   * @param offset its offset
   */
  record Appended(long offset) implements AppendResult {}

  /**
   * The record is certainly not in the log.
   *
   * @param reason why
   */
  record NotAppended(String reason) implements AppendResult {}

  /**
   * The record may be in the log; only reading the stream tells.
   *
   * @param reason why the answer is missing
   */
  record Unknown(String reason) implements AppendResult {}
}
