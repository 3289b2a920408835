/** HTTP clients of the platform's services and of endpoints. None throws for an outage. */
package io.kumquatspindle.transport.platform;
