/** Threads that read and append to streams of the log. */
package io.kumquatspindle.control.log;
