/** Records of the log streams that the system itself writes. */
package io.kumquatspindle.api.record;
