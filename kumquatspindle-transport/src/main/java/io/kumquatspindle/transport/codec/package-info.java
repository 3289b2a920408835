/** The MessagePack form of messages between processes of the system. */
package io.kumquatspindle.transport.codec;
