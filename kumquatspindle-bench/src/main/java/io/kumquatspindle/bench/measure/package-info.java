/** Runs the workload of a deployment against the real programs and compares policies. */
package io.kumquatspindle.bench.measure;
