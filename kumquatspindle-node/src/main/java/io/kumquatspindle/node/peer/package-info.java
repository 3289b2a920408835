/** Messages between the VMs. */
package io.kumquatspindle.node.peer;
