package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.message.PeerMessage.Member;

/**
 * A member as this VM sees it.
 *
 * @param member what is known of it
 * @param live whether it counts as live
 * @param lastHeardAgoMs time since this VM last heard from it directly or of a change, in
 *     milliseconds
 */
public record MemberView(Member member, boolean live, long lastHeardAgoMs) {}
