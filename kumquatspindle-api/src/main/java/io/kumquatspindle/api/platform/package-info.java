/** Interfaces to the services of the platform: log, VM list, weight store and endpoints. */
package io.kumquatspindle.api.platform;
