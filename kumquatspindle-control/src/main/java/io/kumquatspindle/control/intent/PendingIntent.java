package io.kumquatspindle.control.intent;

import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentRequest;
import java.util.function.Consumer;

/**
 * A request to record a key that has no answer yet.
 *
 * @param nonce identifier of the attempt
 * @param request the request
 * @param deadlineMs when it is answered as unavailable, on the monotonic clock
 * @param reply takes the answer
 */
record PendingIntent(
    String nonce, IntentRequest request, long deadlineMs, Consumer<IntentReply> reply) {}
