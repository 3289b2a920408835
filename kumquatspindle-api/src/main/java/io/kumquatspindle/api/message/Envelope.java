package io.kumquatspindle.api.message;

/**
 * The content of one frame between two processes: a message with its ids.
 *
 * @param id frame number on the connection, starting at 1
 * @param replyTo id of the frame that this one replies to, 0 if none
 * @param body the message
 */
public record Envelope(long id, long replyTo, Message body) {}
