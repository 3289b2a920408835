/** Reads and writes snapshots of stream state. */
package io.kumquatspindle.control.snapshot;
