package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.PromptPart;
import java.util.List;

/**
 * The beginnings of one prompt: for each of its parts, a hash of the model, the adapter and all
 * parts up to this one. The upper half of a hash depends on the model and the adapter only, so that
 * the beginnings of an evicted model can be found, also those that a peer has reported.
 */
final class PromptPrefixes {
  /**
   * Maximum number of parts that are considered. A caller may list thousands in one request, which
   * would push out what other requests use.
   */
  static final int MAX_PARTS = 16;

  private static final int GROUP_BITS = 32;
  private static final int MODEL_BITS = 16;
  private static final long LOW_MASK = (1L << GROUP_BITS) - 1;
  private static final int ADAPTER_MASK = (1 << MODEL_BITS) - 1;

  private final long[] hashes;
  private final int[] tokens;
  private final long[] partKeys;

  /**
   * Hashes the beginnings of a prompt.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param parts parts of the prompt, in order
   */
  PromptPrefixes(String model, String adapter, List<PromptPart> parts) {
    int count = Math.min(parts.size(), MAX_PARTS);
    hashes = new long[count];
    tokens = new int[count];
    partKeys = new long[count];
    long group = (long) group(model, adapter) << GROUP_BITS;
    long hash = Hashes.of(Hashes.of(model), Hashes.of(adapter));
    long length = 0;
    for (int i = 0; i < count; i++) {
      partKeys[i] = partKey(model, parts.get(i).id());
      hash = Hashes.of(hash, Hashes.of(parts.get(i).id()));
      length = toLength(length + toLength(parts.get(i).tokens()));
      hashes[i] = group | (hash & LOW_MASK);
      tokens[i] = (int) length;
    }
  }

  /** Returns the key of a part of prompts for a model, whatever precedes it. */
  static long partKey(String model, String part) {
    return Hashes.of(Hashes.of(model), Hashes.of(part));
  }

  /** Limits a length that a caller or a peer has stated to the range of an int. */
  static int toLength(long stated) {
    return (int) Math.max(0, Math.min(stated, Integer.MAX_VALUE));
  }

  /** Returns the common bits of all hashes for a model and an adapter. */
  static int group(String model, String adapter) {
    int modelBits = (int) (Hashes.of(model) >>> (Long.SIZE - MODEL_BITS));
    return withAdapter(modelBits << MODEL_BITS, adapter);
  }

  /** Returns the group of another adapter of the same model. */
  static int withAdapter(int group, String adapter) {
    int adapterBits = (int) (Hashes.of(adapter) >>> (Long.SIZE - MODEL_BITS));
    return (group & ~ADAPTER_MASK) | adapterBits;
  }

  /** Returns the common bits of the hashes of a beginning. */
  static int groupOf(long hash) {
    return (int) (hash >>> GROUP_BITS);
  }

  /** Returns whether two groups belong to the same model. */
  static boolean sameModel(int group, int other) {
    return ((group ^ other) & ~ADAPTER_MASK) == 0;
  }

  /** Returns the key of a part. */
  long key(int part) {
    return partKeys[part];
  }

  /** Returns the number of beginnings. */
  int count() {
    return hashes.length;
  }

  /** Returns the hash of the beginning that ends with a part. */
  long hash(int part) {
    return hashes[part];
  }

  /** Returns the length of the beginning that ends with a part, in tokens. */
  int tokens(int part) {
    return tokens[part];
  }

  /** Returns the length of a part, in tokens. */
  int partTokens(int part) {
    return tokens[part] - (part == 0 ? 0 : tokens[part - 1]);
  }
}
