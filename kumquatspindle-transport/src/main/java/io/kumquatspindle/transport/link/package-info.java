/**
 * Persistent connections between processes of the system.
 *
 * <p>A frame consists of a 4-byte big-endian length and one MessagePack envelope. Both sides send
 * heartbeats when idle, and close the connection if no frame arrives within the silence limit.
 */
package io.kumquatspindle.transport.link;
