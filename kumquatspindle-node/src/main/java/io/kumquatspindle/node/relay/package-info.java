/** Requests to endpoints and their answers. */
package io.kumquatspindle.node.relay;
