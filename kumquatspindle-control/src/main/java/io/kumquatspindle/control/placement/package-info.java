/** Load decisions, orders to endpoints and reports of endpoints. */
package io.kumquatspindle.control.placement;
