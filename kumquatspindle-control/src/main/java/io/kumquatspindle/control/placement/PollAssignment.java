package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.engine.membership.RendezvousHash;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Assigns each endpoint of a failure domain to the one of the domain's live VMs that polls it, by
 * rendezvous hashing.
 */
public final class PollAssignment implements Supplier<Collection<EndpointSpec>> {
  private final VmId vm;
  private final FailureDomain failureDomain;
  private final Supplier<Configuration> configuration;
  private final Supplier<MembershipView> members;

  /**
   * Creates an assignment.
   *
   * @param vm this VM
   * @param failureDomain its failure domain
   * @param configuration returns the active configuration
   * @param members returns the members
   */
  public PollAssignment(
      VmId vm,
      FailureDomain failureDomain,
      Supplier<Configuration> configuration,
      Supplier<MembershipView> members) {
    this.vm = vm;
    this.failureDomain = failureDomain;
    this.configuration = configuration;
    this.members = members;
  }

  /** Returns the endpoints that are assigned to this VM. */
  @Override
  public Collection<EndpointSpec> get() {
    List<VmId> live = members.get().liveVms(Optional.of(failureDomain));
    return configuration.get().endpoints().values().stream()
        .filter(e -> e.failureDomain().equals(failureDomain))
        .filter(e -> RendezvousHash.owner(e.name().value(), live).filter(vm::equals).isPresent())
        .toList();
  }
}
