package io.kumquatspindle.bench.check;

import io.kumquatspindle.bench.check.Observation.End;
import java.util.List;

/** Checks that each caller got the whole answer to its own request or an explicit error (C8). */
public final class AnswerCheck {
  private AnswerCheck() {}

  /**
   * Checks a run.
   *
   * @param run the requests
   * @return one line for each fault
   */
  public static List<String> faults(List<Observation> run) {
    return run.stream().filter(AnswerCheck::isWrong).map(o -> "wrong answer: " + o).toList();
  }

  private static boolean isWrong(Observation o) {
    return o.reply().end() == End.WHOLE
        && !o.expected().isEmpty()
        && !o.reply().text().equals(o.expected());
  }
}
