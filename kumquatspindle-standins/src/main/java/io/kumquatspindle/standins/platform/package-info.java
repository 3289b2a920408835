/** Stand-ins of the platform: log service, VM list and weight store. */
package io.kumquatspindle.standins.platform;
