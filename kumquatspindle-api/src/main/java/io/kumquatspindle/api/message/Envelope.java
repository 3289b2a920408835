package io.kumquatspindle.api.message;

/**
 * One frame between two processes.
 *
 * @param id number of the frame on its connection, from 1
 * @param replyTo id of the frame that this one answers, 0 if none
 * @param body the message
 */
public record Envelope(long id, long replyTo, Message body) {}
