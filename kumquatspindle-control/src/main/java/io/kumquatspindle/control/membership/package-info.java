/** Members of the fleet and the exchange of gossip. */
package io.kumquatspindle.control.membership;
