/** The operators' command. */
package io.kumquatspindle.cli;
