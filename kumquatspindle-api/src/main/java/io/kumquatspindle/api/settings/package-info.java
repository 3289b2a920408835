/** Validated settings in INI format. */
package io.kumquatspindle.api.settings;
