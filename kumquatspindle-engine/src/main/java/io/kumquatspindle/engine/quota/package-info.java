/** Divides customers' rates and bursts over VMs and moves tokens to where they are needed. */
package io.kumquatspindle.engine.quota;
