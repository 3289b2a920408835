/** Interfaces that a platform adapter implements for the node program. */
package io.kumquatspindle.node.port;
