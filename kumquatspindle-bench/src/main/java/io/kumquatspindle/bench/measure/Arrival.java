package io.kumquatspindle.bench.measure;

/**
 * A request of the workload.
 *
 * @param timeMs when it is sent, from the start of the run, in milliseconds
 * @param vm index of the VM that it is sent to
 * @param customer index of its customer
 * @param artifact the model or adapter
 * @param prompt what the user says
 * @param maxTokens most tokens of the answer
 */
record Arrival(long timeMs, int vm, int customer, String artifact, String prompt, int maxTokens) {

  /** Returns the tokens that entry charges: prompt bytes by four, rounded up, and the answer. */
  long tokens() {
    return (prompt.length() + 3) / 4 + maxTokens;
  }
}
