package io.kumquatspindle.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Formats the state of the fleet as text. */
final class FleetFormatter {

  private FleetFormatter() {}

  static String format(FleetView view, GracePeriod grace) {
    StringBuilder s = new StringBuilder();
    for (FleetView.Domain d : view.domains()) {
      s.append("Failure domain ").append(d.failureDomain()).append(": ");
      s.append(d.askedVm().map(v -> "asked " + v).orElse("no control answered"));
      s.append(d.configGap() ? ", config_gap: applies no more tickets\n" : "\n");
      s.append(vmTable(d.vms(), grace, v -> true));
    }
    return s.append(notes(view, grace)).toString();
  }

  /** Returns a table of the VMs that match a condition. */
  static String vmTable(
      List<FleetView.Vm> vms, GracePeriod grace, Predicate<FleetView.Vm> condition) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("VM", "STATE", "NUMBER", "HEARD", "CONFIRMED", "GRACE LEFT"));
    vms.stream().filter(condition).forEach(v -> rows.add(row(v, grace)));
    return TextFormatter.formatTable(rows);
  }

  static String notes(FleetView view, GracePeriod grace) {
    StringBuilder s = new StringBuilder();
    view.unreachable().forEach(u -> s.append("No answer from control ").append(u).append('\n'));
    if (grace.assumed()) {
      s.append("The log cannot be read: GRACE LEFT assumes the default of ")
          .append(grace.longestSeconds())
          .append(" s\n");
    } else if (grace.shortestSeconds() != grace.longestSeconds()) {
      s.append("GRACE LEFT is of the customer with the longest grace time, ")
          .append(grace.longestSeconds())
          .append(" s; the shortest is ")
          .append(grace.shortestSeconds())
          .append(" s\n");
    }
    return s.toString();
  }

  private static List<String> row(FleetView.Vm v, GracePeriod grace) {
    boolean live = v.live();
    long left = grace.remainingMs(v);
    return List.of(
        v.vm().value(),
        v.state().name(),
        String.valueOf(v.number()),
        v.heardAgoMs() == 0 ? "now" : TextFormatter.formatDuration(v.heardAgoMs()) + " ago",
        v.confirmedAgoMs().map(ms -> TextFormatter.formatDuration(ms) + " ago").orElse("-"),
        !live ? "-" : left == 0 ? "ended" : TextFormatter.formatDuration(left));
  }
}
