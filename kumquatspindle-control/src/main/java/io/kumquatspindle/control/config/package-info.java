/** The active configuration and the time since it was last confirmed to be up to date. */
package io.kumquatspindle.control.config;
