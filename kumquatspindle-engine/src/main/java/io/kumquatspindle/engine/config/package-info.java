/** Validation of tickets, their application to the configuration, and snapshots of streams. */
package io.kumquatspindle.engine.config;
