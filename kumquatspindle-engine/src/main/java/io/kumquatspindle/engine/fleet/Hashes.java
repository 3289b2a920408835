package io.kumquatspindle.engine.fleet;

import java.nio.charset.StandardCharsets;

/** Hash functions with the same results on all VMs. */
public final class Hashes {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashes() {}

  /**
   * Combines the hashes of two strings.
   *
   * @param first hash of the first string
   * @param second hash of the second string
   * @return 64-bit hash with well-distributed bits
   */
  public static long of(long first, long second) {
    return mix(first * FNV_PRIME ^ second);
  }

  private static long mix(long bits) {
    long h = (bits ^ (bits >>> 33)) * 0xff51afd7ed558ccdL;
    h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return h ^ (h >>> 33);
  }

  /**
   * Returns the hash of a string.
   *
   * @param text the string
   * @return 64-bit hash with well-distributed bits
   */
  public static long of(String text) {
    long h = FNV_OFFSET;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(h);
  }
}
