/** Tickets for test sites, and the operator command that files them. */
package io.kumquatspindle.bench.tickets;
