package io.kumquatspindle.engine.fleet;

/**
 * Estimates when the response to a request should have begun, so that a silent endpoint is told
 * from one that is still reading a long prompt. Handles prompts of very different lengths, and
 * bursts in which several prompts are read at once: a fixed timeout would send the longest requests
 * to one endpoint after the other, each of which starts to read the prompt from its beginning.
 *
 * <p>Keeps the mean and the mean deviation of the time per token, as RFC 6298 does for round trips.
 * Not thread-safe: confined to one thread.
 */
public final class ResponseTimeEstimator {
  /** Weight of a new sample in the mean, as in RFC 6298. */
  private static final double MEAN_WEIGHT = 1.0 / 8;

  /** Weight of a new sample in the deviation, as in RFC 6298. */
  private static final double DEVIATION_WEIGHT = 1.0 / 4;

  /** Multiple of the deviation that is added to the mean, as in RFC 6298. */
  private static final double DEVIATIONS = 4;

  /** Tokens that take as long as the parts of a request that do not depend on its length. */
  private static final double BASE_TOKENS = 500;

  private double mean;
  private double deviation;
  private boolean sampled;

  /**
   * Records the response to a request.
   *
   * @param tokens size of the request, in tokens
   * @param ms time until the response began, or for which it was awaited in vain, in ms
   */
  public void record(long tokens, long ms) {
    double sample = ms / (tokens + BASE_TOKENS);
    if (sampled) {
      deviation += DEVIATION_WEIGHT * (Math.abs(sample - mean) - deviation);
      mean += MEAN_WEIGHT * (sample - mean);
    } else {
      sampled = true;
      mean = sample;
      deviation = sample / 2;
    }
  }

  /**
   * Returns the time that the response to a request takes to begin at this moment.
   *
   * @param tokens size of the request, in tokens
   * @return mean time in ms; 0 while there are no samples
   */
  public long usualMs(long tokens) {
    return Math.round(mean * (tokens + BASE_TOKENS));
  }

  /**
   * Returns the time after which an endpoint that has not responded is probably not going to.
   *
   * @param tokens size of the request, in tokens
   * @param minMs minimum, in ms
   * @param maxMs maximum, in ms; also applies while there are no samples
   * @return timeout in ms
   */
  public long timeoutMs(long tokens, long minMs, long maxMs) {
    if (!sampled) {
      return maxMs;
    }
    double ms = (mean + DEVIATIONS * deviation) * (tokens + BASE_TOKENS);
    return Math.min(maxMs, Math.max(minMs, Math.round(ms)));
  }
}
