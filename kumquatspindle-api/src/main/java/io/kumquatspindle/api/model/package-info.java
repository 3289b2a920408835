/** Identifiers and small value types. */
package io.kumquatspindle.api.model;
