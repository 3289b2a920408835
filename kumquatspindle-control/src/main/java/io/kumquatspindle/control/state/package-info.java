/** State machines that are replicated through streams of the log, applied in offset order. */
package io.kumquatspindle.control.state;
