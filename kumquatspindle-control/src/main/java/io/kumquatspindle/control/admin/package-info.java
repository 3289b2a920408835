/** HTTP admin interface: health checks, metrics, status and explanations of routing. */
package io.kumquatspindle.control.admin;
