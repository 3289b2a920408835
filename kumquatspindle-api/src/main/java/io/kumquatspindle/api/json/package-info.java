/** JSON serialization of tickets, log records and admin pages. */
package io.kumquatspindle.api.json;
