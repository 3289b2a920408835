/** Readers and appenders for the streams of the log, each on its own thread. */
package io.kumquatspindle.control.log;
