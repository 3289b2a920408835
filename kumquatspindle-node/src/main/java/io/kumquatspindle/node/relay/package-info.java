/** HTTP clients for endpoints and platform services. */
package io.kumquatspindle.node.relay;
