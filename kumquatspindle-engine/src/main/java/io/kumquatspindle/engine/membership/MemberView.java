package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.message.PeerMessage.Member;

/**
 * The state of a member, as seen by this VM.
 *
 * @param member the last known state of the member
 * @param live whether the member is considered live
 * @param lastHeardAgoMs time since this VM last heard from the member or learned of a change to it,
 *     in milliseconds
 */
public record MemberView(Member member, boolean live, long lastHeardAgoMs) {}
