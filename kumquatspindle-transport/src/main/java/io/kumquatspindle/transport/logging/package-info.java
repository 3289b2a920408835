/** Logging configuration, and request ids on log lines. */
package io.kumquatspindle.transport.logging;
