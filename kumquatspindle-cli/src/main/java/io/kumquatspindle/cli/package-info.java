/** The command-line tool for operators. */
package io.kumquatspindle.cli;
