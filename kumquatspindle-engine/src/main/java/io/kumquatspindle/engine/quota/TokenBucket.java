package io.kumquatspindle.engine.quota;

/**
 * A token bucket that uses exact integer arithmetic. Amounts are in millionths of a token. A
 * fraction of a millionth is carried over to the next accrual and dropped when the rate changes, so
 * rounding never creates tokens. Not thread-safe.
 */
public final class TokenBucket {
  /** Units of an amount in one token. */
  public static final long MICROS_PER_TOKEN = 1_000_000;

  /** The largest rate, burst or debt, in tokens; larger values would overflow a long. */
  public static final long MAX_TOKENS = 1_000_000_000;

  private static final long MAX_MICROS = MAX_TOKENS * MICROS_PER_TOKEN;
  private static final long MS_PER_SECOND = 1_000;

  private long rateMicros;
  private long burstMicros;
  private long levelMicros;
  private long remainder;
  private long lastAccrualMs;

  /**
   * Returns an empty bucket with rate and burst zero.
   *
   * @param now present time, in ms
   */
  public TokenBucket(long now) {
    lastAccrualMs = now;
  }

  /**
   * Sets rate and burst. Tokens above the new burst are discarded.
   *
   * @param newRateMicros millionths of a token that accrue each second
   * @param newBurstMicros capacity of the bucket, in millionths of a token
   * @param now present time, in ms
   */
  public void setLimits(long newRateMicros, long newBurstMicros, long now) {
    accrue(now);
    if (newRateMicros != rateMicros) {
      rateMicros = clamp(newRateMicros);
      remainder = 0;
    }
    burstMicros = clamp(newBurstMicros);
    levelMicros = Math.min(levelMicros, burstMicros);
  }

  /**
   * Returns the number of tokens in the bucket.
   *
   * @param now present time, in ms
   * @return millionths of a token; negative if there is a debt
   */
  public long level(long now) {
    accrue(now);
    return levelMicros;
  }

  /**
   * Takes tokens, up to the level of the bucket.
   *
   * @param requestedMicros millionths of a token requested
   * @param now present time, in ms
   * @return millionths of a token taken, at least 0
   */
  public long take(long requestedMicros, long now) {
    accrue(now);
    long taken = Math.max(0, Math.min(requestedMicros, levelMicros));
    levelMicros -= taken;
    return taken;
  }

  /**
   * Adds tokens, up to the burst, or subtracts them, which may make the level negative.
   *
   * @param micros millionths of a token; negative to subtract
   * @param now present time, in ms
   */
  public void add(long micros, long now) {
    accrue(now);
    long sum = levelMicros + Math.max(-MAX_MICROS, Math.min(MAX_MICROS, micros));
    levelMicros = Math.max(-MAX_MICROS, Math.min(burstMicros, sum));
  }

  /**
   * Returns the time until the bucket reaches a level by accrual.
   *
   * @param micros the level, in millionths of a token
   * @param now present time, in ms
   * @return time in ms, rounded up; {@link Long#MAX_VALUE} if it never reaches the level
   */
  public long msUntil(long micros, long now) {
    accrue(now);
    if (levelMicros >= micros) {
      return 0;
    }
    if (micros > burstMicros || rateMicros == 0) {
      return Long.MAX_VALUE;
    }
    long missing = (micros - levelMicros) * MS_PER_SECOND - remainder;
    return Math.max(1, (missing + rateMicros - 1) / rateMicros);
  }

  private void accrue(long now) {
    long elapsed = now - lastAccrualMs;
    if (elapsed <= 0) {
      return;
    }
    lastAccrualMs = now;
    if (rateMicros == 0 || levelMicros >= burstMicros) {
      remainder = 0;
      return;
    }
    long missing = (burstMicros - levelMicros) * MS_PER_SECOND;
    if (elapsed > missing / rateMicros) {
      levelMicros = burstMicros;
      remainder = 0;
      return;
    }
    long accrued = elapsed * rateMicros + remainder;
    levelMicros = Math.min(burstMicros, levelMicros + accrued / MS_PER_SECOND);
    remainder = accrued % MS_PER_SECOND;
  }

  private static long clamp(long micros) {
    return Math.max(0, Math.min(MAX_MICROS, micros));
  }
}
