/** Load and evict orders to model engines, and the requests that wait for them. */
package io.kumquatspindle.node.order;
