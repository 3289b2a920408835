/** HTTP front end: callers' connections, and the handling of their requests. */
package io.kumquatspindle.node.front;
