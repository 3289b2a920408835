/** Measures what the system adds to the time of a request. */
package io.kumquatspindle.bench.speed;
