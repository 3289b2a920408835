package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.ShareRecord;

/** An action that the caller of a {@link QuotaController} carries out, in the order returned. */
public sealed interface QuotaAction {

  /**
   * Append a record to the {@code shares} stream and report the result with {@link
   * QuotaController#appendFinished}.
   *
   * @param record the record
   * @param tag number of the append, unique within the controller
   */
  record AppendShare(ShareRecord record, long tag) implements QuotaAction {}

  /**
   * Answer entry's request for tokens, which the controller has already subtracted.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens granted, 0 if none
   * @param retryAfterMs time until the remaining tokens are expected, in ms; 0 if all were granted
   */
  record GrantToEntry(long id, CustomerName customer, long tokens, long retryAfterMs)
      implements QuotaAction {}

  /**
   * Request a transfer of tokens from a peer.
   *
   * @param vm the peer
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens requested
   */
  record SendTransferRequest(VmId vm, long id, CustomerName customer, long tokens)
      implements QuotaAction {}

  /**
   * Answer a peer's transfer request; the controller has already subtracted the tokens.
   *
   * @param vm the peer
   * @param id number of the peer's request
   * @param customer the customer
   * @param tokens tokens transferred, 0 if none
   */
  record SendTransfer(VmId vm, long id, CustomerName customer, long tokens)
      implements QuotaAction {}
}
