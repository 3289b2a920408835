package io.kumquatspindle.control.quota;

import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.message.PeerMessage.Transfer;
import io.kumquatspindle.api.message.PeerMessage.TransferRequest;
import io.kumquatspindle.api.model.VmId;
import java.util.function.Consumer;

/** Gives tokens to entry programs and peers. No method blocks. */
public interface TokenProvider {

  /**
   * Gives tokens to an entry program.
   *
   * @param request what it asks for
   * @param reply takes the grant
   */
  void requestTokens(TokenRequest request, Consumer<TokenGrant> reply);

  /**
   * Takes tokens back from an entry program, or a debt.
   *
   * @param tokens what it gives back
   */
  void returnTokens(TokenReturn tokens);

  /**
   * Gives tokens to a peer.
   *
   * @param from the peer
   * @param request what it asks for
   * @param reply takes the transfer
   */
  void requestTransfer(VmId from, TransferRequest request, Consumer<Transfer> reply);
}
