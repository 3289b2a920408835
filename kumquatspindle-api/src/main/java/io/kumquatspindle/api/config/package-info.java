/** The configuration, and the tickets that change it. */
package io.kumquatspindle.api.config;
