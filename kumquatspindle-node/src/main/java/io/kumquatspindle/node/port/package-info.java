/** What the node program needs from a platform; an adapter implements it. */
package io.kumquatspindle.node.port;
