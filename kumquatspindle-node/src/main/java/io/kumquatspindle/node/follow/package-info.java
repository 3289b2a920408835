/** Following the store: configuration, endpoints and groups. */
package io.kumquatspindle.node.follow;
