/** Dispatches incoming messages and exchanges data with other control programs. */
package io.kumquatspindle.control.router;
