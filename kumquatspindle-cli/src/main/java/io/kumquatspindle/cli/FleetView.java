package io.kumquatspindle.cli;

import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * The state of the fleet according to the controls that responded.
 *
 * @param domains failure domains, sorted by name
 * @param unreachable controls that did not respond, each with the reason
 */
record FleetView(List<Domain> domains, List<String> unreachable) {

  /**
   * A failure domain.
   *
   * @param failureDomain its name
   * @param askedVm the VM whose control responded, empty if none in the failure domain did
   * @param configGap whether that control stopped applying tickets because records are missing
   * @param vms its VMs, sorted by name
   */
  record Domain(
      FailureDomain failureDomain, Optional<VmId> askedVm, boolean configGap, List<Vm> vms) {}

  /**
   * A VM.
   *
   * @param vm its name
   * @param failureDomain its failure domain
   * @param state its membership state according to the most recent information
   * @param number number of the last ticket in force on it, as last reported
   * @param heardAgoMs time since it was last heard from, in milliseconds; 0 if its control
   *     responded
   * @param confirmedAgoMs time since it was last confirmed up to date, in milliseconds; empty if
   *     its control did not respond
   */
  record Vm(
      VmId vm,
      FailureDomain failureDomain,
      MemberState state,
      long number,
      long heardAgoMs,
      Optional<Long> confirmedAgoMs) {

    /**
     * Returns the shortest time, in milliseconds, since the VM can have been confirmed up to date
     * as far as the controls that responded know. A VM that is partitioned from them may have been
     * confirmed more recently.
     */
    long sinceConfirmedMs() {
      return confirmedAgoMs.orElse(heardAgoMs);
    }

    boolean live() {
      return state != MemberState.GONE;
    }
  }

  boolean noControlAnswered() {
    return domains.stream().allMatch(d -> d.askedVm().isEmpty());
  }

  List<Vm> liveVms() {
    return domains.stream().flatMap(d -> d.vms().stream()).filter(Vm::live).toList();
  }

  /** Returns the failure domains of a site that have no known VM, neither live nor gone. */
  List<FailureDomain> domainsWithoutVms(List<FailureDomain> siteDomains) {
    return siteDomains.stream()
        .filter(f -> domains.stream().noneMatch(d -> d.failureDomain().equals(f)))
        .toList();
  }
}
