/** Checks recorded histories against the conditions that always hold; used by tests and benches. */
package io.kumquatspindle.engine.check;
