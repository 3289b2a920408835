package io.kumquatspindle.api.admin;

import io.kumquatspindle.api.message.PeerMessage.MemberState;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;

/**
 * A fleet member as seen by one control program.
 *
 * @param vm the member's VM
 * @param failureDomain its failure domain
 * @param address IP address and port of its control program
 * @param state its state in the view of the control program
 * @param number number of the last ticket in force at the member, as last received
 * @param lastHeardAgoMs time since the member's heartbeat counter last increased, in milliseconds
 */
public record MemberStatus(
    VmId vm,
    FailureDomain failureDomain,
    String address,
    MemberState state,
    long number,
    long lastHeardAgoMs) {}
