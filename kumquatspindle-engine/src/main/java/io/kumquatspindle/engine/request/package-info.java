/** Decisions about single requests: waiting, retries and idempotency. */
package io.kumquatspindle.engine.request;
