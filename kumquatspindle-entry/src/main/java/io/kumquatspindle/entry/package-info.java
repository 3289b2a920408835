/** The entry program that serves callers. */
package io.kumquatspindle.entry;
