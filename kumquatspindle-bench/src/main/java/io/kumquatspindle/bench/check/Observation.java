package io.kumquatspindle.bench.check;

import java.util.OptionalLong;

/**
 * One request as its caller saw it. Times are milliseconds of one monotonic clock.
 *
 * @param actor the caller and the VM that it called
 * @param callId names the work that is asked for; several requests may have the same
 * @param expected the only right answer; empty if any text is right
 * @param deadlineMs time that the caller allows, from the invocation on
 * @param invokedMs when the request was sent
 * @param endedMs when the reply ended; empty if there was none when the run ended
 * @param reply what the caller got
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
    /** An answer with its end marker or its full length. */
    WHOLE,
    /** An explicit error, as an error answer or as an error event of a stream. */
    REFUSED,
    /** The connection failed without an explicit error, or nothing has come yet. */
    NONE
  }

  /**
   * What a caller got.
   *
   * @param end how the reply ended
   * @param requestId id that the entry program gave the request; empty if unknown
   * @param code code of the error; empty if there was none
   * @param ran what the error says: {@code not_run}, {@code ran}, {@code unknown}; else empty
   * @param text the text of the answer
   * @param firstByteMs when the first part of a streamed answer came; 0 if none came
   * @param lastByteMs when the last part of a streamed answer came; 0 if none came
   */
  public record Reply(
      End end,
      String requestId,
      String code,
      String ran,
      String text,
      long firstByteMs,
      long lastByteMs) {
    /** No reply. */
    public static final Reply NONE = new Reply(End.NONE, "", "", "", "");

    /**
     * Creates a reply that is not streamed.
     *
     * @param end how the reply ended
     * @param requestId id that the entry program gave the request; empty if unknown
     * @param code code of the error; empty if there was none
     * @param ran what the error says
     * @param text the text of the answer
     */
    public Reply(End end, String requestId, String code, String ran, String text) {
      this(end, requestId, code, ran, text, 0, 0);
    }
  }

  /**
   * Tells whether the caller was told that its call did not run.
   *
   * @return whether it was
   */
  public boolean saysNotRun() {
    return reply.end() == End.REFUSED && reply.ran().equals("not_run");
  }
}
