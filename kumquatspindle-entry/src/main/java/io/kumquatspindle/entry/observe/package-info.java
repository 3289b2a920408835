/** Metrics, traces and log set-up of the entry program. */
package io.kumquatspindle.entry.observe;
