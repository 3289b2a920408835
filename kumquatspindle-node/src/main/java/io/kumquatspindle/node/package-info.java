/** The node program: the process on each VM that forwards callers' requests to endpoints. */
package io.kumquatspindle.node;
