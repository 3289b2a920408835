/** The monotonic clock and the timer service. */
package io.kumquatspindle.api.time;
