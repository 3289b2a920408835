/** Runs a deployment's workload against the real programs and compares policies. */
package io.kumquatspindle.bench.measure;
