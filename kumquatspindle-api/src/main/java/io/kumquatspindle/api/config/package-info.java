/** The configuration that tickets build, and the tickets themselves. */
package io.kumquatspindle.api.config;
