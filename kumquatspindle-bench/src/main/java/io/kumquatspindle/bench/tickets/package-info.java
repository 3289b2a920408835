/** Tickets of a test site, and the operators' command that files them. */
package io.kumquatspindle.bench.tickets;
