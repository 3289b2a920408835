/** Snapshots of streams, read and written. */
package io.kumquatspindle.control.snapshot;
