/** Messages between the VMs, and the rates of customers that the VMs share. */
package io.kumquatspindle.node.peer;
