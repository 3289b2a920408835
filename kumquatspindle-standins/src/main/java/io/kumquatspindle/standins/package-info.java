/** Stand-ins of the platform and of endpoints, for tests and the demo. */
package io.kumquatspindle.standins;
