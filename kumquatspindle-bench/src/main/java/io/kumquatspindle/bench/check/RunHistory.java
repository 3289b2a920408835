package io.kumquatspindle.bench.check;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Records the requests of a concurrent run. Thread-safe. */
public final class RunHistory {
  private final List<Observation> observations = new ArrayList<>();

  /**
   * Records that a request is about to be sent.
   *
   * @param actor the caller and the VM that it calls
   * @param callId the id of the requested call
   * @param expected the only correct response text; empty if any text is correct
   * @param deadlineMs the time allowed by the caller, in milliseconds
   * @return the number of the request, to be passed to {@link #recordReply}
   */
  public synchronized int recordInvocation(
      String actor, String callId, String expected, long deadlineMs) {
    OptionalLong notEnded = OptionalLong.empty();
    observations.add(
        new Observation(
            actor, callId, expected, deadlineMs, nowMs(), notEnded, Observation.Reply.NONE));
    return observations.size() - 1;
  }

  /**
   * Records that the reply to a request has ended.
   *
   * @param number the number of the request
   * @param reply what the caller received
   * @return the request with its reply
   */
  public synchronized Observation recordReply(int number, Observation.Reply reply) {
    Observation o = observations.get(number);
    Observation ended =
        new Observation(
            o.actor(),
            o.callId(),
            o.expected(),
            o.deadlineMs(),
            o.invokedMs(),
            OptionalLong.of(nowMs()),
            reply);
    observations.set(number, ended);
    return ended;
  }

  /**
   * Returns a snapshot of the requests recorded so far.
   *
   * @return the requests, in the order in which they were sent
   */
  public synchronized List<Observation> observations() {
    return List.copyOf(observations);
  }

  /**
   * Returns the current time of the clock that all histories use.
   *
   * @return the monotonic time, in milliseconds
   */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
