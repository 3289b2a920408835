/** Messages between processes of the system. */
package io.kumquatspindle.api.message;
