package io.kumquatspindle.engine.fleet;

import java.nio.charset.StandardCharsets;

/** A hash that is the same on all VMs. */
public final class Hashes {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashes() {}

  /**
   * Returns a hash of two texts by their hashes.
   *
   * @param first hash of the first text
   * @param second hash of the second text
   * @return 64 bits, well mixed
   */
  public static long of(long first, long second) {
    return mixed(first * FNV_PRIME ^ second);
  }

  private static long mixed(long bits) {
    long h = (bits ^ (bits >>> 33)) * 0xff51afd7ed558ccdL;
    h = (h ^ (h >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return h ^ (h >>> 33);
  }

  /**
   * Returns a hash of a text.
   *
   * @param text the text
   * @return 64 bits, well mixed
   */
  public static long of(String text) {
    long h = FNV_OFFSET;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return mixed(h);
  }
}
