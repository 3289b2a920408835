/** Queueing, retry budgets and idempotency of individual requests. */
package io.kumquatspindle.engine.request;
