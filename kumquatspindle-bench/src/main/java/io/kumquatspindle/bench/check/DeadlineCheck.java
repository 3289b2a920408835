package io.kumquatspindle.bench.check;

import io.kumquatspindle.bench.check.Observation.End;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks that each request was served or explicitly refused by its deadline (C3). The deadline of a
 * streamed answer is that of its first byte; after that, it ends within a limit after its last one.
 */
public final class DeadlineCheck {
  /** Longest time between two bytes of a stream, from the design's table of timeouts. */
  static final long STREAM_SILENCE_MS = 10_000;

  private final long marginMs;
  private final Set<String> mayBreak;

  /**
   * Creates a check.
   *
   * @param marginMs how much later than its deadline a reply may end, in milliseconds
   * @param mayBreak actors whose entry program was killed, so that connections may fail
   */
  public DeadlineCheck(long marginMs, Set<String> mayBreak) {
    this.marginMs = marginMs;
    this.mayBreak = Set.copyOf(mayBreak);
  }

  /**
   * Checks a run that has ended.
   *
   * @param run the requests
   * @return one line for each fault
   */
  public List<String> faults(List<Observation> run) {
    List<String> faults = new ArrayList<>();
    for (Observation o : run) {
      if (o.endedMs().isEmpty()) {
        faults.add("never ended: " + o);
      } else if (isLate(o)) {
        faults.add("late: " + o);
      } else if (o.reply().end() == End.NONE && !mayBreak.contains(o.actor())) {
        faults.add("broken without an error: " + o);
      }
    }
    return faults;
  }

  private boolean isLate(Observation o) {
    long latestMs = o.invokedMs() + o.deadlineMs() + marginMs;
    long ended = o.endedMs().getAsLong();
    if (o.reply().firstByteMs() == 0) {
      return ended > latestMs;
    }
    boolean endedLate = ended > o.reply().lastByteMs() + STREAM_SILENCE_MS + marginMs;
    return o.reply().firstByteMs() > latestMs || (endedLate && ended > latestMs);
  }
}
