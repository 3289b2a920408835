/**
 * Connections between processes of the system.
 *
 * <p>A frame is a 4-byte big-endian length and one MessagePack envelope. Both sides send heartbeats
 * and close a connection on which no frame has arrived for the silence limit.
 */
package io.kumquatspindle.transport.link;
