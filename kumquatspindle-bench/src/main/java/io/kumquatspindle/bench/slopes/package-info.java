/** Measures what control costs by size of the fleet, of the configuration and of the load. */
package io.kumquatspindle.bench.slopes;
