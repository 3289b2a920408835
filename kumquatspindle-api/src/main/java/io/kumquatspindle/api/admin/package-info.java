/** JSON responses of the control program's admin port. */
package io.kumquatspindle.api.admin;
