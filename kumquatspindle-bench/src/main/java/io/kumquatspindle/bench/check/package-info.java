/** Checkers that verify the recorded history of a whole run against sequential models. */
package io.kumquatspindle.bench.check;
