/** Checked INI settings. */
package io.kumquatspindle.api.settings;
