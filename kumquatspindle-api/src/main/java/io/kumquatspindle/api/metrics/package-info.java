/** Metrics in the Prometheus text format, and metrics of the process. */
package io.kumquatspindle.api.metrics;
