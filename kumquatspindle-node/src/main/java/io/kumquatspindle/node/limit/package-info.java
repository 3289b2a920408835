/** Limits that endpoints state for the requests of all VMs together. */
package io.kumquatspindle.node.limit;
