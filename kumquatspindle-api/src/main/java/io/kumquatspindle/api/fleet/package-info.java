/**
 * Configuration, endpoints and requests as used by the node program, independent of wire formats.
 */
package io.kumquatspindle.api.fleet;
