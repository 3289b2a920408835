package io.kumquatspindle.control.quota;

import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.message.PeerMessage.Transfer;
import io.kumquatspindle.api.message.PeerMessage.TransferRequest;
import io.kumquatspindle.api.model.VmId;
import java.util.function.Consumer;

/** Grants tokens to entry programs and transfers tokens to peers. No method blocks. */
public interface TokenProvider {

  /**
   * Grants tokens to an entry program.
   *
   * @param request the request
   * @param reply receives the grant
   */
  void requestTokens(TokenRequest request, Consumer<TokenGrant> reply);

  /**
   * Credits unused tokens of an entry program, or debits tokens that it has overdrawn.
   *
   * @param tokens the tokens; negative if overdrawn
   */
  void returnTokens(TokenReturn tokens);

  /**
   * Transfers tokens to a peer.
   *
   * @param from the peer
   * @param request the request
   * @param reply receives the transfer
   */
  void requestTransfer(VmId from, TransferRequest request, Consumer<Transfer> reply);
}
