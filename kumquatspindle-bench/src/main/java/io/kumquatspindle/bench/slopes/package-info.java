/** Measures how the cost of control processes scales with fleet size, configuration and load. */
package io.kumquatspindle.bench.slopes;
