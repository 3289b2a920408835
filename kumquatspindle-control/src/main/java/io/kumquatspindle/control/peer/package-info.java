/** Connections to other control programs. */
package io.kumquatspindle.control.peer;
