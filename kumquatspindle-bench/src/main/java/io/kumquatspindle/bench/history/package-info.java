/** Histories of concurrent runs, and checkers that compare them with small sequential models. */
package io.kumquatspindle.bench.history;
