/** Chooses the endpoint of each request. */
package io.kumquatspindle.engine.routing;
