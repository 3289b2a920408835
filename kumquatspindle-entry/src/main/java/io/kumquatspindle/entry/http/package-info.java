/** The HTTP servers for callers and for operators. */
package io.kumquatspindle.entry.http;
