/** The configuration in force and how recently it was confirmed. */
package io.kumquatspindle.control.config;
