/** Single-threaded event workers, each of which owns part of the process state. */
package io.kumquatspindle.transport.worker;
