package io.kumquatspindle.cli;

import io.kumquatspindle.api.admin.MemberStatus;
import io.kumquatspindle.api.admin.StatusPage;
import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.cli.AdminClient.PageResult;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Queries controls for the state of the fleet and merges their responses. */
final class FleetProbe {
  private final AdminClient admin;
  private final List<String> addresses;

  FleetProbe(AdminClient admin, List<String> addresses) {
    this.admin = admin;
    this.addresses = List.copyOf(addresses);
  }

  AdminClient admin() {
    return admin;
  }

  List<String> addresses() {
    return addresses;
  }

  /** Queries all configured controls in parallel; the result lists those that do not respond. */
  FleetView queryAll() {
    List<PageResult<StatusPage>> results = addresses.parallelStream().map(admin::status).toList();
    List<StatusPage> pages = results.stream().flatMap(a -> a.page().stream()).toList();
    List<String> unreachable =
        results.stream()
            .filter(a -> a.page().isEmpty())
            .map(a -> a.address() + ": " + a.problem())
            .toList();
    return new FleetView(domains(pages, merge(pages).values()), unreachable);
  }

  // The page of a VM's own control takes precedence, then the control that heard from the VM most
  // recently. Only a VM's own control knows when the VM was last confirmed up to date.
  private static Map<VmId, FleetView.Vm> merge(List<StatusPage> pages) {
    Map<VmId, FleetView.Vm> vms = new TreeMap<>();
    for (StatusPage p : pages) {
      for (MemberStatus m : p.members()) {
        vms.merge(m.vm(), fromMember(m), FleetProbe::mostRecent);
      }
    }
    for (StatusPage p : pages) {
      MemberState state =
          p.members().stream()
              .filter(m -> m.vm().equals(p.vm()))
              .map(MemberStatus::state)
              .findFirst()
              .orElse(MemberState.ALIVE);
      vms.put(
          p.vm(),
          new FleetView.Vm(
              p.vm(), p.failureDomain(), state, p.number(), 0, Optional.of(p.confirmedAgoMs())));
    }
    return vms;
  }

  private static FleetView.Vm fromMember(MemberStatus m) {
    return new FleetView.Vm(
        m.vm(), m.failureDomain(), m.state(), m.number(), m.lastHeardAgoMs(), Optional.empty());
  }

  private static FleetView.Vm mostRecent(FleetView.Vm a, FleetView.Vm b) {
    return b.heardAgoMs() < a.heardAgoMs() ? b : a;
  }

  private static List<FleetView.Domain> domains(
      List<StatusPage> pages, Collection<FleetView.Vm> vms) {
    Map<FailureDomain, List<FleetView.Vm>> byDomain = new TreeMap<>();
    vms.forEach(v -> byDomain.computeIfAbsent(v.failureDomain(), f -> new ArrayList<>()).add(v));
    List<FleetView.Domain> domains = new ArrayList<>();
    byDomain.forEach(
        (f, list) -> {
          Optional<StatusPage> page =
              pages.stream().filter(p -> p.failureDomain().equals(f)).findFirst();
          list.sort(Comparator.comparing(FleetView.Vm::vm));
          domains.add(
              new FleetView.Domain(
                  f,
                  page.map(StatusPage::vm),
                  page.map(StatusPage::configGap).orElse(false),
                  list));
        });
    return domains;
  }
}
