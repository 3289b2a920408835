/** Decisions of the node program: pure state, driven by events and the present time. */
package io.kumquatspindle.engine.fleet;
