/** Identifiers and other value types. */
package io.kumquatspindle.api.model;
