/** Checkers of whole runs: recorded histories against small sequential models. */
package io.kumquatspindle.bench.check;
