/** Framed MessagePack between processes and HTTP clients of the platform. */
package io.kumquatspindle.transport;
