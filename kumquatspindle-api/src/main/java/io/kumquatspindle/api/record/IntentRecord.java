package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.model.VmId;
import java.util.List;

/** A record of the {@code intents} stream, which holds idempotency keys and call outcomes. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = IntentRecord.IntentRecorded.class, name = "intent_recorded"),
  @JsonSubTypes.Type(value = IntentRecord.IntentFinished.class, name = "intent_finished"),
  @JsonSubTypes.Type(value = IntentRecord.Group.class, name = "group")
})
public sealed interface IntentRecord {

  /**
   * A call with an idempotency key is about to be sent. The first record with a key is effective.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param requestDigest SHA-256 of method, path and body, in hexadecimal digits
   * @param vm the VM that is about to send the call
   * @param nonce random identifier of this attempt to record the key
   */
  record IntentRecorded(
      CustomerName customer, String key, String requestDigest, VmId vm, String nonce)
      implements IntentRecord {}

  /**
   * The outcome of a call with an idempotency key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param nonce identifier of the effective attempt
   * @param ran whether the call was executed
   * @param status HTTP status returned by the endpoint, 0 if there was no response
   */
  record IntentFinished(
      CustomerName customer, String key, String nonce, ExecutionStatus ran, int status)
      implements IntentRecord {}

  /**
   * Several records appended together.
   *
   * @param records the records in order; groups are not nested
   */
  record Group(List<IntentRecord> records) implements IntentRecord {}
}
