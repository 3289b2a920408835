package io.kumquatspindle.control.admin;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.ExplainPage.ReplicaStatus;
import io.kumquatspindle.api.admin.MemberStatus;
import io.kumquatspindle.api.admin.StatusPage;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.message.EntryMessage.Replica;
import io.kumquatspindle.api.message.EntryMessage.ReplicaState;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.config.ConfigurationController;
import io.kumquatspindle.control.config.ConfigurationState;
import io.kumquatspindle.control.membership.MembershipController;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.engine.membership.MemberView;
import java.util.List;

/** Admin pages built from the state that the controllers have published. */
public final class StatePages implements AdminPages {
  private final ConfigurationController configuration;
  private final PlacementController placement;
  private final MembershipController membership;
  private final MonotonicClock clock;

  /**
   * Creates the pages.
   *
   * @param configuration the active configuration
   * @param placement the replicas
   * @param membership the members
   * @param clock the monotonic clock
   */
  public StatePages(
      ConfigurationController configuration,
      PlacementController placement,
      MembershipController membership,
      MonotonicClock clock) {
    this.configuration = configuration;
    this.placement = placement;
    this.membership = membership;
    this.clock = clock;
  }

  @Override
  public StatusPage status() {
    ConfigurationState s = configuration.state();
    Member self = membership.self();
    List<MemberStatus> members =
        membership.view().members().stream()
            .map(v -> v.member().vm().equals(self.vm()) ? selfStatus(v, s) : memberStatus(v))
            .toList();
    return new StatusPage(
        self.vm(),
        self.failureDomain(),
        s.configuration().number(),
        s.nextOffset(),
        s.confirmedAgoMs(clock.nowMs()),
        members,
        s.hasGap());
  }

  private static MemberStatus selfStatus(MemberView v, ConfigurationState s) {
    Member m = v.member();
    return new MemberStatus(
        m.vm(), m.failureDomain(), m.address(), m.state(), s.configuration().number(), 0);
  }

  private static MemberStatus memberStatus(MemberView v) {
    Member m = v.member();
    return new MemberStatus(
        m.vm(),
        m.failureDomain(),
        m.address(),
        m.state(),
        m.configurationNumber(),
        v.lastHeardAgoMs());
  }

  @Override
  public ExplainPage explain(String model) {
    Configuration c = configuration.state().configuration();
    List<Replica> replicas =
        placement.placement().replicas().stream()
            .filter(r -> r.artifact().value().equals(model))
            .toList();
    List<ReplicaStatus> states =
        replicas.stream()
            .map(r -> new ReplicaStatus(r.endpoint(), r.state(), r.expectedReadyMs()))
            .toList();
    List<String> pending =
        replicas.stream()
            .filter(r -> r.state() == ReplicaState.LOADING)
            .map(r -> "load on " + r.endpoint())
            .toList();
    boolean known = isValidName(model) && c.hasArtifact(ArtifactName.of(model));
    return new ExplainPage(model, known, states, pending, reason(known, replicas));
  }

  private static boolean isValidName(String text) {
    try {
      ArtifactName.of(text);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static String reason(boolean known, List<Replica> replicas) {
    if (!known) {
      return "no such model or adapter in the configuration";
    }
    if (replicas.stream().anyMatch(r -> r.state() == ReplicaState.READY)) {
      return "requests go to the least loaded ready replica, in the own failure domain first";
    }
    if (!replicas.isEmpty()) {
      return "requests wait for a replica that is not ready yet";
    }
    return "no replica is loaded; the first request asks for one";
  }
}
