package io.kumquatspindle.cli;

import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;

/**
 * Whether a ticket is in force.
 *
 * @param number the ticket's number
 * @param author who filed it; empty if the log does not say
 * @param accepted whether it was accepted, if the log or a control says
 * @param detail what the log says, in one sentence
 * @param inForceEverywhere whether every VM that is not known to be gone has it in force
 * @param behind VMs that do not report it in force
 * @param missingDomains failure domains of which no VM is known
 * @param fleet the fleet as the controls see it
 * @param grace grace times of keys
 */
record ForceReport(
    long number,
    Optional<String> author,
    Optional<Boolean> accepted,
    String detail,
    boolean inForceEverywhere,
    List<FleetView.Vm> behind,
    List<FailureDomain> missingDomains,
    FleetView fleet,
    Grace grace) {

  /** Judges a ticket by the log, if that could be read, and by the fleet. */
  static ForceReport of(
      long number, Optional<TicketHistory> history, String logProblem, FleetView fleet) {
    List<FleetView.Vm> live = fleet.liveVms();
    List<FleetView.Vm> behind = live.stream().filter(v -> v.number() < number).toList();
    List<FailureDomain> missing =
        history
            .map(h -> fleet.missing(h.configuration().limits().failureDomains()))
            .orElse(List.of());
    boolean anywhere = behind.size() < live.size();
    Optional<Boolean> accepted = anywhere ? Optional.of(true) : history.map(h -> h.isTaken(number));
    return new ForceReport(
        number,
        history
            .flatMap(h -> h.acceptedNumber(number))
            .flatMap(e -> e.ticket())
            .map(t -> t.author()),
        accepted,
        history.map(h -> detail(h, number)).orElse(logProblem),
        !live.isEmpty() && behind.isEmpty() && missing.isEmpty(),
        behind,
        missing,
        fleet,
        Grace.of(history.map(TicketHistory::configuration)));
  }

  ExitStatus status() {
    if (inForceEverywhere) {
      return ExitStatus.DONE;
    }
    if (accepted.isEmpty()) {
      return ExitStatus.UNREACHABLE;
    }
    return accepted.get() ? ExitStatus.NOT_EVERYWHERE : ExitStatus.REJECTED;
  }

  String text() {
    StringBuilder s = new StringBuilder("Ticket " + number + ": " + detail + "\n");
    if (accepted.equals(Optional.of(false))) {
      return s.toString();
    }
    if (inForceEverywhere) {
      s.append("In force on all live VMs (").append(fleet.liveVms().size()).append(")\n");
    } else if (fleet.unanswered()) {
      s.append("No control answered; it is not known where the ticket is in force\n");
    } else {
      s.append("Not known to be in force on ").append(behind.size()).append(" of ");
      s.append(fleet.liveVms().size()).append(" live VMs\n");
      missingDomains.forEach(
          f -> s.append("No VM is known of failure domain ").append(f).append('\n'));
    }
    for (FleetView.Domain d : fleet.domains()) {
      if (d.vms().stream().anyMatch(behind::contains)) {
        s.append("Behind in failure domain ").append(d.failureDomain());
        s.append(d.askedVm().isPresent() ? ":\n" : ", of which no control answered:\n");
        s.append(FleetText.vms(d.vms(), grace, behind::contains));
      }
    }
    return s.append(FleetText.notes(fleet, grace)).toString();
  }

  private static String detail(TicketHistory history, long number) {
    if (!history.isTaken(number)) {
      return "not accepted; the next number is " + history.nextNumber();
    }
    return history
        .acceptedNumber(number)
        .map(
            e ->
                "by "
                    + e.ticket().map(t -> t.author()).orElse("")
                    + ", accepted at offset "
                    + e.offset())
        .orElse("accepted; the log no longer keeps it");
  }
}
