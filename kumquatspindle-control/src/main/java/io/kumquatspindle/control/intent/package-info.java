/** Idempotency keys, recorded in the log before calls are sent. */
package io.kumquatspindle.control.intent;
