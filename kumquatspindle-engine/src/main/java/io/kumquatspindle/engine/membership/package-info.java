/** Which VMs of the fleet are alive, and which of them a name belongs to. */
package io.kumquatspindle.engine.membership;
