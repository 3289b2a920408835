/** Simulations (stand-ins) of endpoints: model engines and plain services. */
package io.kumquatspindle.standins.endpoint;
