/** Measures the latency that the system adds to a request. */
package io.kumquatspindle.bench.speed;
