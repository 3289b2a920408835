/** The node program: everything between callers and endpoints on one VM, in one process. */
package io.kumquatspindle.node;
