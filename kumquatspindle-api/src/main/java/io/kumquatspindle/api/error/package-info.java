/** The closed list of error kinds and the answer of each. */
package io.kumquatspindle.api.error;
