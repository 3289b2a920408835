/** Sends requests to endpoints and relays their responses. */
package io.kumquatspindle.entry.dispatch;
