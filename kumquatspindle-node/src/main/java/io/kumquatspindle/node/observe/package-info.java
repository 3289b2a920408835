/** Log lines and metrics. */
package io.kumquatspindle.node.observe;
