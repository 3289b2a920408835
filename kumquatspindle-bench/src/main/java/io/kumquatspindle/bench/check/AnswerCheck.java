package io.kumquatspindle.bench.check;

import io.kumquatspindle.bench.check.Observation.End;
import java.util.List;

/**
 * Checks that each caller received the complete response to its own request, or an explicit error
 * (condition C8).
 */
public final class AnswerCheck {
  private AnswerCheck() {}

  /**
   * Returns the violations in a run.
   *
   * @param run the observed requests
   * @return one message per violation; empty if there is none
   */
  public static List<String> violations(List<Observation> run) {
    return run.stream().filter(AnswerCheck::isWrong).map(o -> "wrong answer: " + o).toList();
  }

  private static boolean isWrong(Observation o) {
    return o.reply().end() == End.COMPLETE
        && !o.expected().isEmpty()
        && !o.reply().text().equals(o.expected());
  }
}
