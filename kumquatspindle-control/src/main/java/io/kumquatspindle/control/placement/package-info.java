/** Decisions to load and unload models, orders to endpoints, and reports from endpoints. */
package io.kumquatspindle.control.placement;
