package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.Ran;
import io.kumquatspindle.api.model.VmId;
import java.util.List;

/** A record of the {@code intents} stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = IntentRecord.IntentRecorded.class, name = "intent_recorded"),
  @JsonSubTypes.Type(value = IntentRecord.IntentFinished.class, name = "intent_finished"),
  @JsonSubTypes.Type(value = IntentRecord.Group.class, name = "group")
})
public sealed interface IntentRecord {

  /**
   * A call with an idempotency key is about to be sent; the first one wins.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param requestDigest SHA-256 of method, path and body, in hexadecimal digits
   * @param vm the VM that is about to send the call
   * @param nonce random identifier of this attempt to record
   */
  record IntentRecorded(
      CustomerName customer, String key, String requestDigest, VmId vm, String nonce)
      implements IntentRecord {}

  /**
   * The outcome of a call with an idempotency key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param nonce identifier of the attempt that won
   * @param ran whether the call ran
   * @param status HTTP status that the endpoint answered, 0 if it did not answer
   */
  record IntentFinished(CustomerName customer, String key, String nonce, Ran ran, int status)
      implements IntentRecord {}

  /**
   * Records that share one append, in order.
   *
   * @param records the records, none of which is a group
   */
  record Group(List<IntentRecord> records) implements IntentRecord {}
}
