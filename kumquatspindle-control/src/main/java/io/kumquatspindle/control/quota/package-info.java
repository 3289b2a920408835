/** Rate limiting: token buckets of customers and the quota slots of the shares stream. */
package io.kumquatspindle.control.quota;
