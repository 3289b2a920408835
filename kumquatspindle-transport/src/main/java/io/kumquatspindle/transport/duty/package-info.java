/** Threads that each own a part of the state and take events from a bounded ring buffer. */
package io.kumquatspindle.transport.duty;
