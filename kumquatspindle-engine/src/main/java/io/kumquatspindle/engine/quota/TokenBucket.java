package io.kumquatspindle.engine.quota;

/**
 * A token bucket in exact integer arithmetic. Amounts are millionths of a token; a fraction that
 * accrues over a time too short for one millionth is kept until the rate changes and then dropped,
 * so rounding never creates tokens. One owner thread.
 */
public final class TokenBucket {
  /** Millionths in one token. */
  public static final long MICROS = 1_000_000;

  /** The largest rate, burst or debt, in tokens; keeps products within the range of a long. */
  public static final long MOST_TOKENS = 1_000_000_000;

  private static final long MOST_MICROS = MOST_TOKENS * MICROS;
  private static final long MS_PER_SECOND = 1_000;

  private long rateMicros;
  private long burstMicros;
  private long levelMicros;
  private long remainder;
  private long lastMs;

  /**
   * Returns an empty bucket with rate and burst zero.
   *
   * @param now present time, in ms
   */
  public TokenBucket(long now) {
    lastMs = now;
  }

  /**
   * Sets rate and burst; tokens above the burst are lost.
   *
   * @param newRateMicros millionths of a token that accrue each second
   * @param newBurstMicros most millionths of a token that the bucket holds
   * @param now present time, in ms
   */
  public void limits(long newRateMicros, long newBurstMicros, long now) {
    accrue(now);
    if (newRateMicros != rateMicros) {
      rateMicros = clamp(newRateMicros);
      remainder = 0;
    }
    burstMicros = clamp(newBurstMicros);
    levelMicros = Math.min(levelMicros, burstMicros);
  }

  /**
   * Returns the level.
   *
   * @param now present time, in ms
   * @return millionths of a token; negative if there is a debt
   */
  public long level(long now) {
    accrue(now);
    return levelMicros;
  }

  /**
   * Takes tokens, at most those that are there.
   *
   * @param wantedMicros millionths of a token wanted
   * @param now present time, in ms
   * @return millionths of a token taken, at least 0
   */
  public long take(long wantedMicros, long now) {
    accrue(now);
    long taken = Math.max(0, Math.min(wantedMicros, levelMicros));
    levelMicros -= taken;
    return taken;
  }

  /**
   * Adds tokens up to the burst, or subtracts them, which may leave a debt.
   *
   * @param micros millionths of a token; negative to subtract
   * @param now present time, in ms
   */
  public void add(long micros, long now) {
    accrue(now);
    long sum = levelMicros + Math.max(-MOST_MICROS, Math.min(MOST_MICROS, micros));
    levelMicros = Math.max(-MOST_MICROS, Math.min(burstMicros, sum));
  }

  /**
   * Returns how long the bucket takes to reach a level.
   *
   * @param micros the level wanted, in millionths of a token
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
    long elapsed = now - lastMs;
    if (elapsed <= 0) {
      return;
    }
    lastMs = now;
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
    return Math.max(0, Math.min(MOST_MICROS, micros));
  }
}
