/** Narrow interfaces to what the platform gives: log, VM list, weight store, endpoints. */
package io.kumquatspindle.api.platform;
