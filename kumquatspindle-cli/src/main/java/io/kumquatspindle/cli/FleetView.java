package io.kumquatspindle.cli;

import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * The fleet as the controls that answered see it.
 *
 * @param domains failure domains by name
 * @param unreachable controls that did not answer, with the reason
 */
record FleetView(List<Domain> domains, List<String> unreachable) {

  /**
   * A failure domain.
   *
   * @param failureDomain its name
   * @param askedVm the VM whose control answered, if one in the failure domain did
   * @param configGap whether that control stopped applying tickets because records are missing
   * @param vms its VMs by name
   */
  record Domain(
      FailureDomain failureDomain, Optional<VmId> askedVm, boolean configGap, List<Vm> vms) {}

  /**
   * A VM.
   *
   * @param vm its name
   * @param failureDomain its failure domain
   * @param state the freshest belief of a control about it
   * @param number number of the last ticket in force there, as last heard
   * @param heardAgoMs time since it was last heard of, in milliseconds; 0 if its control answered
   * @param confirmedAgoMs time since it was last confirmed up to date, in milliseconds, if its
   *     control answered
   */
  record Vm(
      VmId vm,
      FailureDomain failureDomain,
      MemberState state,
      long number,
      long heardAgoMs,
      Optional<Long> confirmedAgoMs) {

    /**
     * Returns the least time since the VM was confirmed up to date as far as anyone who answered
     * knows, in milliseconds. A VM that is cut off may have had other confirmations.
     */
    long ageMs() {
      return confirmedAgoMs.orElse(heardAgoMs);
    }

    boolean live() {
      return state != MemberState.GONE;
    }
  }

  /** Tells whether no control answered. */
  boolean unanswered() {
    return domains.stream().allMatch(d -> d.askedVm().isEmpty());
  }

  List<Vm> liveVms() {
    return domains.stream().flatMap(d -> d.vms().stream()).filter(Vm::live).toList();
  }

  /** Returns the failure domains of a site of which no VM is known, live or gone. */
  List<FailureDomain> missing(List<FailureDomain> ofSite) {
    return ofSite.stream()
        .filter(f -> domains.stream().noneMatch(d -> d.failureDomain().equals(f)))
        .toList();
  }
}
