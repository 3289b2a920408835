package io.kumquatspindle.api.admin;

import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;

/**
 * A member of the fleet as a control program sees it.
 *
 * @param vm the member's VM
 * @param failureDomain its failure domain
 * @param address IP address and port of its control program
 * @param state what the control program believes of it
 * @param number number of the last ticket in force at the member, as last heard
 * @param lastHeardAgoMs time since the member's heartbeat last rose, in milliseconds
 */
public record MemberStatus(
    VmId vm,
    FailureDomain failureDomain,
    String address,
    MemberState state,
    long number,
    long lastHeardAgoMs) {}
