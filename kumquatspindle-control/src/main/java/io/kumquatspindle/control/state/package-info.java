/** Folds of streams, fed in offset order. */
package io.kumquatspindle.control.state;
