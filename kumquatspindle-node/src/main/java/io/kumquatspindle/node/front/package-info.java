/** Callers' connections and requests. */
package io.kumquatspindle.node.front;
