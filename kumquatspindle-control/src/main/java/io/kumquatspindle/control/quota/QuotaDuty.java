package io.kumquatspindle.control.quota;

import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.message.PeerMessage.Transfer;
import io.kumquatspindle.api.message.PeerMessage.TransferRequest;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.config.ConfigurationState;
import io.kumquatspindle.control.log.LogAppender;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.peer.PeerNetwork;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamOwner;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/** Stub. */
public final class QuotaDuty implements TokenDesk, StreamOwner {
  public QuotaDuty(
      VmId vm,
      FailureDomain d,
      String incarnation,
      LogAppender a,
      PeerNetwork p,
      MonotonicClock c) {}

  public void inForce(ConfigurationState s) {}

  public void members(MembershipView v) {}

  public void vmsGone(Set<VmId> gone) {}

  public void tick() {}

  public void giveBack(Runnable done) {
    done.run();
  }

  @Override
  public void request(TokenRequest r, Consumer<TokenGrant> reply) {
    reply.accept(new TokenGrant(r.id(), r.customer(), r.tokens(), 0));
  }

  @Override
  public void returned(TokenReturn tokens) {}

  @Override
  public void transferRequested(TransferRequest r, Consumer<Transfer> reply) {
    reply.accept(new Transfer(r.id(), r.customer(), 0));
  }

  @Override
  public boolean offer(StreamEvent event) {
    return true;
  }

  @Override
  public long nextOffset() {
    return 0;
  }

  @Override
  public boolean logReachable() {
    return true;
  }

  @Override
  public OptionalLong oldestRecordMs() {
    return OptionalLong.empty();
  }
}
