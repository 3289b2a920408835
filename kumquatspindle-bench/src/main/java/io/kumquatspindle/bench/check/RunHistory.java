package io.kumquatspindle.bench.check;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** The requests of one concurrent run. Safe for use by many threads. */
public final class RunHistory {
  private final List<Observation> observations = new ArrayList<>();

  /**
   * Notes that a request is about to be sent.
   *
   * @param actor the caller and the VM that it calls
   * @param callId names the work that is asked for
   * @param expected the only right answer; empty if any text is right
   * @param deadlineMs time that the caller allows, in milliseconds
   * @return number of the request, for {@link #ended}
   */
  public synchronized int invoked(String actor, String callId, String expected, long deadlineMs) {
    OptionalLong notEnded = OptionalLong.empty();
    observations.add(
        new Observation(
            actor, callId, expected, deadlineMs, nowMs(), notEnded, Observation.Reply.NONE));
    return observations.size() - 1;
  }

  /**
   * Notes that a reply has ended.
   *
   * @param number number of the request
   * @param reply what the caller got
   * @return the request with its reply
   */
  public synchronized Observation ended(int number, Observation.Reply reply) {
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
   * Returns the requests so far.
   *
   * @return the requests in the order in which they were sent
   */
  public synchronized List<Observation> observations() {
    return List.copyOf(observations);
  }

  /**
   * Returns the time of the clock of all histories.
   *
   * @return monotonic time in milliseconds
   */
  public static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
