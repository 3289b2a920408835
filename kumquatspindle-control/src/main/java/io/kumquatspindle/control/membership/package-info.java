/** Membership of the fleet, maintained by a gossip protocol. */
package io.kumquatspindle.control.membership;
