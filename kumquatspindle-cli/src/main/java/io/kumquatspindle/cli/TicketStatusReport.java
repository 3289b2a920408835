package io.kumquatspindle.cli;

import io.kumquatspindle.api.model.FailureDomain;
import java.util.List;
import java.util.Optional;

/**
 * Reports whether a ticket was accepted and on which VMs it is in force.
 *
 * @param number the ticket's number
 * @param author author of the ticket; empty if the log does not contain the ticket
 * @param accepted whether it was accepted; empty if neither the log nor a control tells
 * @param detail state of the ticket according to the log, in one sentence
 * @param inForceEverywhere whether every VM that is not known to be gone has it in force
 * @param behind live VMs that do not report it in force
 * @param missingDomains failure domains that have no known VM
 * @param fleet the state of the fleet according to the controls
 * @param grace offline grace periods of keys
 */
record TicketStatusReport(
    long number,
    Optional<String> author,
    Optional<Boolean> accepted,
    String detail,
    boolean inForceEverywhere,
    List<FleetView.Vm> behind,
    List<FailureDomain> missingDomains,
    FleetView fleet,
    GracePeriod grace) {

  /** Creates a report from the log, if it could be read, and from the state of the fleet. */
  static TicketStatusReport of(
      long number, Optional<TicketHistory> history, String logProblem, FleetView fleet) {
    List<FleetView.Vm> live = fleet.liveVms();
    List<FleetView.Vm> behind = live.stream().filter(v -> v.number() < number).toList();
    List<FailureDomain> missing =
        history
            .map(h -> fleet.domainsWithoutVms(h.configuration().limits().failureDomains()))
            .orElse(List.of());
    boolean anywhere = behind.size() < live.size();
    Optional<Boolean> accepted = anywhere ? Optional.of(true) : history.map(h -> h.isTaken(number));
    return new TicketStatusReport(
        number,
        history.flatMap(h -> h.acceptedEntry(number)).flatMap(e -> e.ticket()).map(t -> t.author()),
        accepted,
        history.map(h -> detail(h, number)).orElse(logProblem),
        !live.isEmpty() && behind.isEmpty() && missing.isEmpty(),
        behind,
        missing,
        fleet,
        GracePeriod.of(history.map(TicketHistory::configuration)));
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
    } else if (fleet.noControlAnswered()) {
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
        s.append(FleetFormatter.vmTable(d.vms(), grace, behind::contains));
      }
    }
    return s.append(FleetFormatter.notes(fleet, grace)).toString();
  }

  private static String detail(TicketHistory history, long number) {
    if (!history.isTaken(number)) {
      return "not accepted; the next number is " + history.nextNumber();
    }
    return history
        .acceptedEntry(number)
        .map(
            e ->
                "by "
                    + e.ticket().map(t -> t.author()).orElse("")
                    + ", accepted at offset "
                    + e.offset())
        .orElse("accepted; its record has expired from the log");
  }
}
