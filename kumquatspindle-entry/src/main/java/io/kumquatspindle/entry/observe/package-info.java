/** Metrics and tracing of the entry program. */
package io.kumquatspindle.entry.observe;
