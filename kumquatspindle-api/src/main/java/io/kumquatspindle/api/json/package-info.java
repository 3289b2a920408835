/** The JSON codec of tickets and log records. */
package io.kumquatspindle.api.json;
