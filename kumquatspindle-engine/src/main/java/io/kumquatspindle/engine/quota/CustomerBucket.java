package io.kumquatspindle.engine.quota;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Token bucket of one customer at one VM. The tokens in the bucket, those granted to entry and
 * those lent to peers together never exceed this VM's share of the burst plus the tokens it has
 * borrowed, so the sum over all VMs never exceeds the customer's burst.
 */
final class CustomerBucket {
  private final QuotaSettings settings;
  private final TokenBucket bucket;
  private final ExpiringAmounts grantedToEntry = new ExpiringAmounts();
  private final ExpiringAmounts lentToPeers = new ExpiringAmounts();
  private final ExpiringAmounts borrowedFromPeers = new ExpiringAmounts();
  private long rateMicros;
  private long burstMicros;
  private double demandPerMs;
  private long demandUpdatedMs;

  CustomerBucket(QuotaSettings settings, long now) {
    this.settings = settings;
    bucket = new TokenBucket(now);
    demandUpdatedMs = now;
  }

  void setLimits(long newRateMicros, long newBurstMicros, long now) {
    rateMicros = newRateMicros;
    burstMicros = newBurstMicros;
    update(now);
  }

  /** Adds the burst share of a slot that no VM has held before. */
  void addInitialBurst(long micros, long now) {
    update(now);
    bucket.add(micros, now);
  }

  long tokens(long now) {
    update(now);
    return Math.max(0, bucket.level(now) / TokenBucket.MICROS_PER_TOKEN);
  }

  long grant(long tokens, long now) {
    return take(tokens, grantedToEntry, now + settings.grantCountedMs(), now);
  }

  long lend(long tokens, long now) {
    long reserved = (long) Math.ceil(demandPerMs(now) * settings.demandReserveMs());
    long lendable = Math.min(tokens, tokens(now) - reserved);
    return lendable <= 0 ? 0 : take(lendable, lentToPeers, now + settings.transferCountedMs(), now);
  }

  void borrow(long tokens, long requestedMs, long now) {
    long expiresAtMs = requestedMs + settings.borrowedUsableMs();
    if (expiresAtMs <= now || tokens <= 0) {
      return;
    }
    long micros = Math.min(tokens, TokenBucket.MAX_TOKENS) * TokenBucket.MICROS_PER_TOKEN;
    borrowedFromPeers.add(micros, expiresAtMs);
    update(now);
    bucket.add(micros, now);
  }

  void addReturned(long tokens, long now) {
    update(now);
    long bounded = Math.max(-TokenBucket.MAX_TOKENS, Math.min(TokenBucket.MAX_TOKENS, tokens));
    bucket.add(bounded * TokenBucket.MICROS_PER_TOKEN, now);
  }

  long msUntil(long tokens, long now) {
    update(now);
    return bucket.msUntil(tokens * TokenBucket.MICROS_PER_TOKEN, now);
  }

  void recordDemand(long tokens, long now) {
    demandPerMs = demandPerMs(now) + (double) tokens / settings.demandAveragingMs();
    demandUpdatedMs = now;
  }

  double demandPerMs(long now) {
    return demandPerMs
        * Math.exp(-(double) Math.max(0, now - demandUpdatedMs) / settings.demandAveragingMs());
  }

  private long take(long tokens, ExpiringAmounts account, long expiresAtMs, long now) {
    long taken = Math.max(0, Math.min(tokens, tokens(now)));
    if (taken > 0) {
      bucket.take(taken * TokenBucket.MICROS_PER_TOKEN, now);
      account.add(taken * TokenBucket.MICROS_PER_TOKEN, expiresAtMs);
      update(now);
    }
    return taken;
  }

  private void update(long now) {
    long capacityMicros =
        burstMicros + borrowedFromPeers.sum(now) - grantedToEntry.sum(now) - lentToPeers.sum(now);
    bucket.setLimits(rateMicros, capacityMicros, now);
  }

  /** Sum of amounts, each of which counts until it expires. */
  private static final class ExpiringAmounts {
    private final PriorityQueue<ExpiringAmount> amounts =
        new PriorityQueue<>(Comparator.comparingLong(ExpiringAmount::expiresAtMs));
    private long sum;

    void add(long micros, long expiresAtMs) {
      amounts.add(new ExpiringAmount(micros, expiresAtMs));
      sum += micros;
    }

    long sum(long now) {
      while (!amounts.isEmpty() && amounts.peek().expiresAtMs() <= now) {
        sum -= amounts.poll().micros();
      }
      return sum;
    }
  }

  private record ExpiringAmount(long micros, long expiresAtMs) {}
}
