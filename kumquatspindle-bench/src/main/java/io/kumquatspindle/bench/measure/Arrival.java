package io.kumquatspindle.bench.measure;

/**
 * Request of a workload.
 *
 * @param timeMs the send time, in milliseconds from the start of the run
 * @param vm the index of the VM that it is sent to
 * @param customer the index of its customer
 * @param artifact the name of the model or adapter
 * @param prompt the content of the user message
 * @param maxTokens the maximum number of tokens in the response
 */
record Arrival(long timeMs, int vm, int customer, String artifact, String prompt, int maxTokens) {

  /**
   * Returns the number of tokens that the entry process charges: a quarter of the prompt bytes,
   * rounded up, plus the maximum number of tokens in the response.
   */
  long tokens() {
    return (prompt.length() + 3) / 4 + maxTokens;
  }
}
