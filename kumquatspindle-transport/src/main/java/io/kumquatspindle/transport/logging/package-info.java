/** Set-up of logs and values that all lines of a request carry. */
package io.kumquatspindle.transport.logging;
