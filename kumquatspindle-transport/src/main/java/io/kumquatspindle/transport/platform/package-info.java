/**
 * HTTP clients for the platform's services and for endpoints. They report failed calls in their
 * results and do not throw.
 */
package io.kumquatspindle.transport.platform;
