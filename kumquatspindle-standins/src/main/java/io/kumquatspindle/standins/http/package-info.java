/** The HTTP server that all stand-ins of a process share, and the injection of faults. */
package io.kumquatspindle.standins.http;
