package io.kumquatspindle.engine.quota;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tokens of one customer at one VM. The level, tokens that entry may still spend, and tokens lent
 * to peers together never exceed this VM's burst plus what it has borrowed, so that the levels of
 * all VMs together never exceed the customer's burst.
 */
final class CustomerLevel {
  private final QuotaSettings settings;
  private final TokenBucket bucket;
  private final Amounts held = new Amounts();
  private final Amounts lent = new Amounts();
  private final Amounts borrowed = new Amounts();
  private long rateMicros;
  private long burstMicros;
  private double demandPerMs;
  private long demandAtMs;

  CustomerLevel(QuotaSettings settings, long now) {
    this.settings = settings;
    bucket = new TokenBucket(now);
    demandAtMs = now;
  }

  void limits(long newRateMicros, long newBurstMicros, long now) {
    rateMicros = newRateMicros;
    burstMicros = newBurstMicros;
    update(now);
  }

  /** Adds the full burst of a slot that no VM ever held. */
  void fill(long micros, long now) {
    update(now);
    bucket.add(micros, now);
  }

  long tokens(long now) {
    update(now);
    return Math.max(0, bucket.level(now) / TokenBucket.MICROS);
  }

  long grant(long tokens, long now) {
    return take(tokens, held, now + settings.heldMs(), now);
  }

  long lend(long tokens, long now) {
    long keep = (long) Math.ceil(demandPerMs(now) * settings.keepDemandMs());
    long given = Math.min(tokens, tokens(now) - keep);
    return given <= 0 ? 0 : take(given, lent, now + settings.lentMs(), now);
  }

  void borrow(long tokens, long askedMs, long now) {
    long until = askedMs + settings.borrowedMs();
    if (until <= now || tokens <= 0) {
      return;
    }
    long micros = Math.min(tokens, TokenBucket.MOST_TOKENS) * TokenBucket.MICROS;
    borrowed.add(micros, until);
    update(now);
    bucket.add(micros, now);
  }

  void returned(long tokens, long now) {
    update(now);
    long bounded = Math.max(-TokenBucket.MOST_TOKENS, Math.min(TokenBucket.MOST_TOKENS, tokens));
    bucket.add(bounded * TokenBucket.MICROS, now);
  }

  long msUntil(long tokens, long now) {
    update(now);
    return bucket.msUntil(tokens * TokenBucket.MICROS, now);
  }

  void demanded(long tokens, long now) {
    demandPerMs = demandPerMs(now) + (double) tokens / settings.demandMs();
    demandAtMs = now;
  }

  double demandPerMs(long now) {
    return demandPerMs * Math.exp(-(double) Math.max(0, now - demandAtMs) / settings.demandMs());
  }

  private long take(long tokens, Amounts to, long untilMs, long now) {
    long taken = Math.max(0, Math.min(tokens, tokens(now)));
    if (taken > 0) {
      bucket.take(taken * TokenBucket.MICROS, now);
      to.add(taken * TokenBucket.MICROS, untilMs);
      update(now);
    }
    return taken;
  }

  private void update(long now) {
    long room = burstMicros + borrowed.sum(now) - held.sum(now) - lent.sum(now);
    bucket.limits(rateMicros, room, now);
  }

  /** Amounts that end at different times. */
  private static final class Amounts {
    private final PriorityQueue<Amount> amounts =
        new PriorityQueue<>(Comparator.comparingLong(Amount::untilMs));
    private long sum;

    void add(long micros, long untilMs) {
      amounts.add(new Amount(micros, untilMs));
      sum += micros;
    }

    long sum(long now) {
      while (!amounts.isEmpty() && amounts.peek().untilMs() <= now) {
        sum -= amounts.poll().micros();
      }
      return sum;
    }
  }

  private record Amount(long micros, long untilMs) {}
}
