package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.ShareRecord;

/** What a {@link QuotaController} wants done, in order. */
public sealed interface QuotaAction {

  /**
   * Append a record to the {@code shares} stream; answered by {@link
   * QuotaController#appendFinished}.
   *
   * @param record the record
   * @param tag number of the append, unique within the controller
   */
  record AppendShare(ShareRecord record, long tag) implements QuotaAction {}

  /**
   * Answer entry's request for tokens; the controller has subtracted them.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens granted, 0 if none
   * @param retryAfterMs when the rest is expected, in milliseconds; 0 if all were granted
   */
  record GrantToEntry(long id, CustomerName customer, long tokens, long retryAfterMs)
      implements QuotaAction {}

  /**
   * Ask a peer for tokens.
   *
   * @param vm the peer
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens wanted
   */
  record AskPeer(VmId vm, long id, CustomerName customer, long tokens) implements QuotaAction {}

  /**
   * Answer a peer's request; the controller has subtracted the tokens.
   *
   * @param vm the peer
   * @param id number of the peer's request
   * @param customer the customer
   * @param tokens tokens given, 0 if none
   */
  record SendTransfer(VmId vm, long id, CustomerName customer, long tokens)
      implements QuotaAction {}
}
