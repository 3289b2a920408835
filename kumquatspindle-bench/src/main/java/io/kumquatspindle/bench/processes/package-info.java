/**
 * Starts and stops the processes of a test site, and injects faults into the links between them.
 */
package io.kumquatspindle.bench.processes;
