/** The filter chain that a request passes through. */
package io.kumquatspindle.entry.request;
