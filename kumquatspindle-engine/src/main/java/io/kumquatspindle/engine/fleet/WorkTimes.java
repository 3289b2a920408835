package io.kumquatspindle.engine.fleet;

import java.util.Map;

/**
 * Learns how long requests of a service take at an endpoint of usual speed: the time for which one
 * occupies a slot, and the time to read a token of its prompt. Handles services of very different
 * requests and prompts from a few tokens to thousands: the time per token is the slope of the time
 * to the first event against the length of the prompt, so that queues and the fixed part of a
 * response do not count as reading. Starts from neutral defaults. All times are in ms. Not
 * thread-safe: confined to one owner thread.
 */
public final class WorkTimes {
  /** Bounds and default of the time for which a request occupies a slot, in ms. */
  private static final double MIN_SLOT_MS = 5;

  private static final double MAX_SLOT_MS = 20_000;
  private static final double DEFAULT_SLOT_MS = 500;

  /** Bounds and default of the time to read a token of a prompt, in ms. */
  private static final double MIN_TOKEN_MS = 0.001;

  private static final double MAX_TOKEN_MS = 2;
  private static final double DEFAULT_TOKEN_MS = 0.05;

  /** Weight of a new sample in the mean time for which a slot is occupied. */
  private static final double SLOT_SAMPLE_WEIGHT = 1.0 / 32;

  /** Share of the earlier samples that counts on after a new one: about the latest 200 count. */
  private static final double KEPT_SHARE = 0.995;

  /**
   * Weight of the default time per token, in squared tokens: that of 20 samples whose prompts
   * deviate by 500 tokens from their mean.
   */
  private static final double DEFAULT_WEIGHT = 20 * 500.0 * 500.0;

  /** Time to a first event above which a sample is cut, in ms: an endpoint that hangs. */
  private static final double MAX_SAMPLE_MS = 30_000;

  private static final int MAX_SERVICES = 256;

  private final Map<String, Times> byService = new LruMap<>(MAX_SERVICES);

  /** Samples of one service; the sums are of a linear regression with decaying weights. */
  private static final class Times {
    private double slotMs = DEFAULT_SLOT_MS;
    private boolean slotSampled;
    private double weight;
    private double meanTokens;
    private double meanMs;
    private double tokenVariance;
    private double covariance;

    private void addSlotTime(double ms) {
      slotMs = slotSampled ? slotMs + SLOT_SAMPLE_WEIGHT * (ms - slotMs) : ms;
      slotSampled = true;
    }

    private void addFirstEvent(double tokens, double ms) {
      weight = weight * KEPT_SHARE + 1;
      double tokensOff = tokens - meanTokens;
      meanTokens += tokensOff / weight;
      tokenVariance = tokenVariance * KEPT_SHARE + tokensOff * (tokens - meanTokens);
      meanMs += (ms - meanMs) / weight;
      covariance = covariance * KEPT_SHARE + tokensOff * (ms - meanMs);
    }

    private double tokenMs() {
      double slope =
          (covariance + DEFAULT_WEIGHT * DEFAULT_TOKEN_MS) / (tokenVariance + DEFAULT_WEIGHT);
      return clamp(slope, MIN_TOKEN_MS, MAX_TOKEN_MS);
    }
  }

  private static double clamp(double value, double min, double max) {
    return Math.max(min, Math.min(max, value));
  }

  private Times times(String service) {
    return byService.computeIfAbsent(service, s -> new Times());
  }

  /**
   * Records the time from sending a request to the first event or byte of its response.
   *
   * @param service name of the service
   * @param tokens length of the prompt, less what was cached; ignored if 0
   * @param factor how long work takes at the endpoint, as a multiple of what is usual
   * @param ms the time, in ms
   */
  public void recordFirstEvent(String service, long tokens, double factor, double ms) {
    if (tokens > 0 && ms >= 0 && factor > 0) {
      times(service).addFirstEvent((double) tokens, Math.min(MAX_SAMPLE_MS, ms) / factor);
    }
  }

  /**
   * Records the time from sending a request to the end of its response.
   *
   * @param service name of the service
   * @param factor how long work takes at the endpoint, as a multiple of what is usual
   * @param ms the time, in ms
   */
  public void recordSlotTime(String service, double factor, double ms) {
    if (ms >= 0 && factor > 0) {
      times(service).addSlotTime(clamp(ms / factor, MIN_SLOT_MS, MAX_SLOT_MS));
    }
  }

  /**
   * Returns the mean time for which a request occupies a slot at an endpoint of usual speed.
   *
   * @param service name of the service
   * @return time in ms
   */
  public double slotMs(String service) {
    return times(service).slotMs;
  }

  /**
   * Returns the time to read a token of a prompt at an endpoint of usual speed.
   *
   * @param service name of the service
   * @return time in ms
   */
  public double tokenMs(String service) {
    return times(service).tokenMs();
  }
}
