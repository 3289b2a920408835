/** Structured log and metrics of the node program. */
package io.kumquatspindle.node.observe;
