/** The metrics page. */
package io.kumquatspindle.api.metrics;
