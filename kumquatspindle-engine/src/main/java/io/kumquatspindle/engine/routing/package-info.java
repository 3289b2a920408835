/** Choice of the endpoint that gets a request. */
package io.kumquatspindle.engine.routing;
