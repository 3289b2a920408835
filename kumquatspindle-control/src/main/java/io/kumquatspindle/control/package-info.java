/** The control program of an entry VM. */
package io.kumquatspindle.control;
