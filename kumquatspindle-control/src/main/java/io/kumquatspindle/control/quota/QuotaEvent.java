package io.kumquatspindle.control.quota;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.message.PeerMessage.Transfer;
import io.kumquatspindle.api.message.PeerMessage.TransferRequest;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.state.StreamEvent;
import java.util.Set;
import java.util.function.Consumer;

/** Events of the quota service. */
sealed interface QuotaEvent {

  /** An event of the shares stream. */
  record Stream(StreamEvent event) implements QuotaEvent {}

  /** The active configuration has changed. */
  record ConfigurationChanged(Configuration configuration) implements QuotaEvent {}

  /** The live members have changed. */
  record MembersChanged(MembershipView view) implements QuotaEvent {}

  /** The platform's VM list was read and contains these VMs. */
  record VmListUpdated(Set<VmId> listed) implements QuotaEvent {}

  /** An entry program requests tokens. */
  record EntryRequest(TokenRequest request, Consumer<TokenGrant> reply) implements QuotaEvent {}

  /** An entry program returns unused tokens. */
  record EntryReturn(TokenReturn tokens) implements QuotaEvent {}

  /** A peer requests a transfer of tokens. */
  record PeerRequest(VmId from, TransferRequest request, Consumer<Transfer> reply)
      implements QuotaEvent {}

  /** A peer transfers tokens to this VM. */
  record PeerTransfer(Transfer transfer) implements QuotaEvent {}

  /** An append has succeeded or failed. */
  record AppendFinished(long tag, AppendResult result) implements QuotaEvent {}

  /** The periodic timer has fired. */
  record Tick() implements QuotaEvent {}

  /** This VM is about to stop; {@code callback} is called when its slots have been released. */
  record Stop(Runnable callback) implements QuotaEvent {}
}
