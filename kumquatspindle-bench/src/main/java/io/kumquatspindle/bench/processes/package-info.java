/** Starts and stops the programs of a test site, and disturbs the links between them. */
package io.kumquatspindle.bench.processes;
