package io.kumquatspindle.bench.check;

import java.util.OptionalLong;

/**
 * Request as observed by its caller. All times are milliseconds of the same monotonic clock.
 *
 * @param actor the caller and the VM that it called
 * @param callId the id of the requested call; several requests may have the same id
 * @param expected the only correct response text; empty if any text is correct
 * @param deadlineMs the time allowed by the caller, from the invocation on
 * @param invokedMs the time at which the request was sent
 * @param endedMs the time at which the reply ended; empty if it had not when the run ended
 * @param reply what the caller received
 */
public record Observation(
    String actor,
    String callId,
    String expected,
    long deadlineMs,
    long invokedMs,
    OptionalLong endedMs,
    Reply reply) {

  /** How a reply ended. */
  public enum End {
    /** A response with its end marker or its full length. */
    COMPLETE,
    /** An explicit error, as an error response or as an error event in a stream. */
    ERROR,
    /** The connection failed without an explicit error, or nothing has been received yet. */
    INCOMPLETE
  }

  /**
   * What a caller received.
   *
   * @param end how the reply ended
   * @param requestId the id that the entry process assigned to the request; empty if unknown
   * @param code the error code; empty if there was no error
   * @param ran the execution status in the error: {@code not_run}, {@code ran} or {@code unknown};
   *     empty if there was no error
   * @param text the text of the response
   * @param firstByteMs the arrival of the first part of a streamed response; 0 if there was none
   * @param lastByteMs the arrival of the last part of a streamed response; 0 if there was none
   */
  public record Reply(
      End end,
      String requestId,
      String code,
      String ran,
      String text,
      long firstByteMs,
      long lastByteMs) {
    /** No reply received. */
    public static final Reply NONE = new Reply(End.INCOMPLETE, "", "", "", "");

    /**
     * Creates a reply that was not streamed.
     *
     * @param end how the reply ended
     * @param requestId the id that the entry process assigned to the request; empty if unknown
     * @param code the error code; empty if there was no error
     * @param ran the execution status in the error; empty if there was no error
     * @param text the text of the response
     */
    public Reply(End end, String requestId, String code, String ran, String text) {
      this(end, requestId, code, ran, text, 0, 0);
    }
  }

  /**
   * Returns whether the caller received an error that says that its call was not run.
   *
   * @return {@code true} if it did
   */
  public boolean saysNotRun() {
    return reply.end() == End.ERROR && reply.ran().equals("not_run");
  }
}
