/** Fleet membership: failure detection by gossip, and assignment of names to live VMs. */
package io.kumquatspindle.engine.membership;
