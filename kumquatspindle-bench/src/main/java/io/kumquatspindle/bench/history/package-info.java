/** Histories of concurrent runs, and checkers that verify them against sequential models. */
package io.kumquatspindle.bench.history;
