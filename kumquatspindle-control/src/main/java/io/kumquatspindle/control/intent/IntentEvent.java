package io.kumquatspindle.control.intent;

import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentRequest;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.record.IntentRecord;
import io.kumquatspindle.control.state.StreamEvent;
import java.util.List;
import java.util.function.Consumer;

/** Events of the intent controller. */
sealed interface IntentEvent {

  /** An event of the intents stream. */
  record Stream(StreamEvent event) implements IntentEvent {}

  /** An entry program requests that an idempotency key be recorded. */
  record IntentRequested(IntentRequest request, Consumer<IntentReply> reply)
      implements IntentEvent {}

  /** An entry program reports the outcome of a call. */
  record CallFinished(IntentOutcome outcome) implements IntentEvent {}

  /** The append of a group of records has succeeded or failed. */
  record AppendFinished(List<IntentRecord> group, AppendResult result) implements IntentEvent {}

  /** The periodic timer has fired. */
  record Tick() implements IntentEvent {}
}
