/** Admin pages: health, metrics, status and explanations. */
package io.kumquatspindle.control.admin;
