/** Decides whether and how often a request may run. */
package io.kumquatspindle.engine.request;
