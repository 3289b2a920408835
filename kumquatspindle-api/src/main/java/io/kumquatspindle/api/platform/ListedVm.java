package io.kumquatspindle.api.platform;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;

/**
 * An entry VM in the platform's VM list.
 *
 * @param vm the VM
 * @param failureDomain its failure domain
 * @param peerAddress IP address and port of its control program, for example {@code 127.0.0.1:7101}
 * @param leaving whether the platform is about to remove the VM
 */
public record ListedVm(VmId vm, FailureDomain failureDomain, String peerAddress, boolean leaving) {}
