/** Sessions of connected entry programs. */
package io.kumquatspindle.control.entry;
