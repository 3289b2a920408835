package io.kumquatspindle.bench.measure;

import java.util.Optional;

/**
 * What became of a request. Times are milliseconds from the start of the run.
 *
 * @param arrival the request
 * @param firstTokenMs when the first token came; -1 if none came
 * @param endMs when the answer ended
 * @param complete whether the whole answer to this request came
 * @param errorCode code of the refusal or error
 */
record Served(
    Arrival arrival, long firstTokenMs, long endMs, boolean complete, Optional<String> errorCode) {

  boolean refusedForRate() {
    return errorCode.filter("over_rate"::equals).isPresent();
  }

  long firstTokenAfterMs() {
    return firstTokenMs - arrival.timeMs();
  }
}
