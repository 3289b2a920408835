/** Command-line program with the demo, the load generator and the measurements. */
package io.kumquatspindle.bench;
