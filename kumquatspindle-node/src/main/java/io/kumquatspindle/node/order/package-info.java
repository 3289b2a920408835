/** Orders to model engines and the wait for them. */
package io.kumquatspindle.node.order;
