/**
 * Decision logic of the node program: state machines without I/O, driven by events and the current
 * time.
 */
package io.kumquatspindle.engine.fleet;
