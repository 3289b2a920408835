/** MessagePack serialization of the messages between processes of the system. */
package io.kumquatspindle.transport.codec;
