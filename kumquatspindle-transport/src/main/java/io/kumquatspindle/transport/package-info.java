/**
 * Inter-process messaging with framed MessagePack, HTTP clients for platform services, event
 * workers and logging configuration.
 */
package io.kumquatspindle.transport;
