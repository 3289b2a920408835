/** Sending of requests to endpoints and relaying of their answers. */
package io.kumquatspindle.entry.dispatch;
