/** The HTTP server that all stand-ins of a process share, and their fault switches. */
package io.kumquatspindle.standins.http;
