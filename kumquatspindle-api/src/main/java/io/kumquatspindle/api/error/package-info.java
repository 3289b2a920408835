/** The errors that callers can receive. */
package io.kumquatspindle.api.error;
