/** The filter chain that handles requests. */
package io.kumquatspindle.entry.request;
