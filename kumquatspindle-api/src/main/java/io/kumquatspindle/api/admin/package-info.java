/** Pages of a control program's admin port, as JSON. */
package io.kumquatspindle.api.admin;
