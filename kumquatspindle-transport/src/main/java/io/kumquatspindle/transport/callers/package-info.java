/**
 * Bounds what callers and other connections can take of a process: the memory of unfinished
 * requests and unread responses, the number of connections, and the time to send a request.
 */
package io.kumquatspindle.transport.callers;
