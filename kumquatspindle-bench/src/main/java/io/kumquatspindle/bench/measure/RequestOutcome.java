package io.kumquatspindle.bench.measure;

import java.util.Optional;

/**
 * Outcome of a request. Times are milliseconds from the start of the run.
 *
 * @param arrival the request
 * @param firstTokenMs the arrival of the first token; -1 if there was none
 * @param endMs the end of the response
 * @param complete whether the complete response to this request was received
 * @param errorCode the error code, if the request failed
 */
record RequestOutcome(
    Arrival arrival, long firstTokenMs, long endMs, boolean complete, Optional<String> errorCode) {

  boolean refusedForRate() {
    return errorCode.filter("over_rate"::equals).isPresent();
  }

  long timeToFirstTokenMs() {
    return firstTokenMs - arrival.timeMs();
  }
}
