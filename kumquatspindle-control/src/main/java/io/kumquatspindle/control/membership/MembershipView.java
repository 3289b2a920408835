package io.kumquatspindle.control.membership;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.engine.membership.MemberView;
import java.util.List;
import java.util.Optional;

/**
 * The members, as last published. Immutable.
 *
 * @param publishedAtMs when it was published, on the monotonic clock
 * @param members all members including this VM, ordered by VM
 */
public record MembershipView(long publishedAtMs, List<MemberView> members) {

  /** Copies the list. */
  public MembershipView {
    members = List.copyOf(members);
  }

  /**
   * Returns the live VMs.
   *
   * @param domain a failure domain, or empty for the whole fleet
   * @return the VMs
   */
  public List<VmId> liveVms(Optional<FailureDomain> domain) {
    return members.stream()
        .filter(MemberView::live)
        .filter(v -> domain.isEmpty() || domain.get().equals(v.member().failureDomain()))
        .map(v -> v.member().vm())
        .toList();
  }

  /**
   * Returns the address of a member.
   *
   * @param vm the member
   * @return IP address and port, or empty for an unknown VM
   */
  public Optional<String> address(VmId vm) {
    return members.stream()
        .filter(v -> v.member().vm().equals(vm))
        .map(v -> v.member().address())
        .findFirst();
  }

  /**
   * Returns a view that contains only one member.
   *
   * @param vm the member
   * @return the view
   */
  public MembershipView only(VmId vm) {
    return new MembershipView(
        publishedAtMs, members.stream().filter(v -> v.member().vm().equals(vm)).toList());
  }
}
