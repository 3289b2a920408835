/** HTTP client that sends streamed chat requests and records the timing of the responses. */
package io.kumquatspindle.bench.client;
