/** A caller that sends streamed requests and measures their answers. */
package io.kumquatspindle.bench.caller;
