/** Configuration, endpoints and requests as the node program sees them, free of wire names. */
package io.kumquatspindle.api.fleet;
