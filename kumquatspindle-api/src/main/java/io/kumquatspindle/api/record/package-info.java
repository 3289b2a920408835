/** Records that the system keeps in log streams of its own. */
package io.kumquatspindle.api.record;
