/**
 * Distributed rate limiting: divides each customer's token rate and burst among the VMs, and
 * transfers tokens between VMs on demand.
 */
package io.kumquatspindle.engine.quota;
