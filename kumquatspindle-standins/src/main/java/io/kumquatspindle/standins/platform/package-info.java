/** Simulations (stand-ins) of the platform's services: log service, VM list and weight store. */
package io.kumquatspindle.standins.platform;
