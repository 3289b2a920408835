/** Connected entry programs and what they are sent. */
package io.kumquatspindle.control.entry;
