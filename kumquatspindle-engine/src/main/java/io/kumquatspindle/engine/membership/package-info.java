/** Knows the members of the fleet and which of them owns a name. */
package io.kumquatspindle.engine.membership;
