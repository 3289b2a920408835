/** Checks recorded histories for violations of invariants; used by tests and benchmarks. */
package io.kumquatspindle.engine.check;
