/** Reads the configuration and the endpoints from the store as they change. */
package io.kumquatspindle.node.follow;
