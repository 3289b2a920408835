/** Decision logic as pure state machines that do no I/O and read no clock. */
package io.kumquatspindle.engine;
