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

/** Events of the quota duty. */
sealed interface QuotaEvent {

  /** An event of the shares stream. */
  record Stream(StreamEvent event) implements QuotaEvent {}

  /** A configuration is in force. */
  record ConfigurationChanged(Configuration configuration) implements QuotaEvent {}

  /** Live members have changed. */
  record MembersChanged(MembershipView view) implements QuotaEvent {}

  /** The platform's list was read and shows these VMs. */
  record VmListUpdated(Set<VmId> listed) implements QuotaEvent {}

  /** An entry program asks for tokens. */
  record EntryRequest(TokenRequest request, Consumer<TokenGrant> reply) implements QuotaEvent {}

  /** An entry program gives tokens back. */
  record EntryReturn(TokenReturn tokens) implements QuotaEvent {}

  /** A peer asks for tokens. */
  record PeerRequest(VmId from, TransferRequest request, Consumer<Transfer> reply)
      implements QuotaEvent {}

  /** A peer gives tokens. */
  record PeerTransfer(Transfer transfer) implements QuotaEvent {}

  /** An append has an outcome. */
  record AppendFinished(long tag, AppendResult result) implements QuotaEvent {}

  /** Time has passed. */
  record Tick() implements QuotaEvent {}

  /** This VM is about to stop; {@code done} is called when its slots are given back. */
  record Stop(Runnable callback) implements QuotaEvent {}
}
