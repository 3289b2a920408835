/** Hands messages to duties and asks other control programs. */
package io.kumquatspindle.control.router;
