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

  /** An entry program asks to record a key. */
  record IntentRequested(IntentRequest request, Consumer<IntentReply> reply)
      implements IntentEvent {}

  /** An entry program tells the outcome of a call. */
  record CallFinished(IntentOutcome outcome) implements IntentEvent {}

  /** A group of records was appended, or not. */
  record AppendFinished(List<IntentRecord> group, AppendResult result) implements IntentEvent {}

  /** Time has passed. */
  record Tick() implements IntentEvent {}
}
