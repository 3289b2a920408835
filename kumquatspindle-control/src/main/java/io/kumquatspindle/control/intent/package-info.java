/** Idempotency keys, which are recorded in the log before calls are sent. */
package io.kumquatspindle.control.intent;
