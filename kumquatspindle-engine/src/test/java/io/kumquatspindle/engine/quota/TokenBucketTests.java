package io.kumquatspindle.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;

class TokenBucketTests {

  @Property(tries = 300, seed = "20260115")
  @Label("never gives more than has accrued, for any rate and any time steps")
  void neverCreatesTokens(@ForAll long seed) {
    Random random = new Random(seed);
    TokenBucket bucket = new TokenBucket(0);
    BigInteger accruedThousandths = BigInteger.ZERO;
    BigInteger taken = BigInteger.ZERO;
    long now = 0;
    long rate = 0;
    for (int i = 0; i < 200; i++) {
      long step = random.nextInt(10) == 0 ? random.nextInt(1_000_000_000) : random.nextInt(50);
      now += step;
      accruedThousandths =
          accruedThousandths.add(BigInteger.valueOf(rate).multiply(BigInteger.valueOf(step)));
      if (random.nextInt(5) == 0) {
        rate = random.nextLong(TokenBucket.MAX_TOKENS * TokenBucket.MICROS_PER_TOKEN);
        bucket.setLimits(
            rate, random.nextLong(TokenBucket.MAX_TOKENS * TokenBucket.MICROS_PER_TOKEN), now);
      }
      taken = taken.add(BigInteger.valueOf(bucket.take(random.nextLong(1L << 50), now)));
      BigInteger accrued = accruedThousandths.divide(BigInteger.valueOf(1_000));
      assertTrue(taken.compareTo(accrued) <= 0, "took more than accrued");
    }
  }

  @Example
  @Label("keeps fractions, so that short time steps lose no tokens")
  void keepsFractions() {
    TokenBucket bucket = new TokenBucket(0);
    bucket.setLimits(1_500, 1_000_000, 0);
    for (long ms = 1; ms <= 1_000; ms++) {
      bucket.level(ms);
    }
    assertEquals(1_500, bucket.level(1_000));
    assertEquals(1, bucket.msUntil(1_501, 1_000));
  }

  @Example
  @Label("pays off a debt by accrual before it gives tokens")
  void repaysDebt() {
    TokenBucket bucket = new TokenBucket(0);
    bucket.setLimits(1_000_000, 5_000_000, 0);
    bucket.add(-2_000_000, 0);
    assertEquals(0, bucket.take(1, 2_000));
    assertEquals(1_000_000, bucket.take(9_000_000, 3_000));
  }
}
