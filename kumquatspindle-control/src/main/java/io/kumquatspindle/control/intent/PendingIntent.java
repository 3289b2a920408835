package io.kumquatspindle.control.intent;

import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentRequest;
import java.util.function.Consumer;

/**
 * A request to record an idempotency key that has not been answered yet.
 *
 * @param nonce identifier of the attempt
 * @param request the request
 * @param deadlineMs when it is answered as unavailable, on the monotonic clock
 * @param reply receives the reply
 */
record PendingIntent(
    String nonce, IntentRequest request, long deadlineMs, Consumer<IntentReply> reply) {}
