/** Simulations (stand-ins) of the platform's services and of endpoints, for tests and the demo. */
package io.kumquatspindle.standins;
