package io.kumquatspindle.bench.check;

import io.kumquatspindle.bench.check.Observation.End;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks that each request was served or explicitly rejected by its deadline (condition C3). For a
 * streamed response the deadline applies to the first byte; after that, the response must end
 * within the idle timeout of the stream, counted from the last byte.
 */
public final class DeadlineCheck {
  /** Maximum time between two bytes of a stream, from the table of timeouts in the design. */
  static final long STREAM_IDLE_TIMEOUT_MS = 10_000;

  private final long marginMs;
  private final Set<String> killedActors;

  /**
   * Creates a check.
   *
   * @param marginMs the time by which a reply may end after its deadline, in milliseconds
   * @param killedActors the actors whose entry process was killed, so that connections may fail
   */
  public DeadlineCheck(long marginMs, Set<String> killedActors) {
    this.marginMs = marginMs;
    this.killedActors = Set.copyOf(killedActors);
  }

  /**
   * Returns the violations in a run that has ended.
   *
   * @param run the observed requests
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(List<Observation> run) {
    List<String> violations = new ArrayList<>();
    for (Observation o : run) {
      if (o.endedMs().isEmpty()) {
        violations.add("never ended: " + o);
      } else if (isLate(o)) {
        violations.add("late: " + o);
      } else if (o.reply().end() == End.INCOMPLETE && !killedActors.contains(o.actor())) {
        violations.add("broken without an error: " + o);
      }
    }
    return violations;
  }

  private boolean isLate(Observation o) {
    long latestMs = o.invokedMs() + o.deadlineMs() + marginMs;
    long ended = o.endedMs().getAsLong();
    if (o.reply().firstByteMs() == 0) {
      return ended > latestMs;
    }
    boolean endedLate = ended > o.reply().lastByteMs() + STREAM_IDLE_TIMEOUT_MS + marginMs;
    return o.reply().firstByteMs() > latestMs || (endedLate && ended > latestMs);
  }
}
