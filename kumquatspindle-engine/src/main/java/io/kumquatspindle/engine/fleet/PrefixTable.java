package io.kumquatspindle.engine.fleet;

import java.util.Arrays;

/**
 * The known beginnings of prompts of all engines, in the order of their last use. When it is full,
 * the least recently used one is dropped. It consists of arrays, and takes less than 64 bytes for
 * each beginning.
 */
final class PrefixTable {
  /** Returned instead of a slot if there is none. */
  static final int NONE = -1;

  /** Given instead of the length of the last part if only the whole length is known. */
  static final int UNKNOWN = -1;

  /** What the table knows of one engine as a whole. */
  static class Owner {
    private final long hash;
    private long tokens;
    private int prefixes;

    Owner(long hash) {
      this.hash = hash;
    }

    /** Returns the sum of the lengths of all known parts, in tokens. */
    long tokens() {
      return tokens;
    }

    /** Returns the number of known beginnings. */
    int prefixes() {
      return prefixes;
    }
  }

  private final Owner[] owners;
  private final long[] hashes;
  private final long[] usedMs;

  /** Length of the last part; the parts before it are beginnings of their own. */
  private final int[] partTokens;

  private final int[] buckets;

  /** The next slot of the same bucket, or the next free slot. */
  private final int[] next;

  private final int[] older;
  private final int[] newer;
  private int firstFree;
  private int oldest = NONE;
  private int newest = NONE;
  private int size;

  /**
   * Creates an empty table.
   *
   * @param capacity maximum number of beginnings
   */
  PrefixTable(int capacity) {
    owners = new Owner[capacity];
    hashes = new long[capacity];
    usedMs = new long[capacity];
    partTokens = new int[capacity];
    next = new int[capacity];
    older = new int[capacity];
    newer = new int[capacity];
    buckets = new int[Integer.highestOneBit(capacity) * 2];
    Arrays.fill(buckets, NONE);
    for (int i = 0; i < capacity; i++) {
      next[i] = i + 1 < capacity ? i + 1 : NONE;
    }
  }

  private int bucket(Owner owner, long hash) {
    return (int) Hashes.of(owner.hash, hash) & (buckets.length - 1);
  }

  /** Returns the slot of a beginning, or {@link #NONE}. */
  int find(Owner owner, long hash) {
    int slot = buckets[bucket(owner, hash)];
    while (slot != NONE && (hashes[slot] != hash || owners[slot] != owner)) {
      slot = next[slot];
    }
    return slot;
  }

  /**
   * Records a use of a beginning, unless a later one is known.
   *
   * @param owner the engine that holds it
   * @param hash hash of the beginning
   * @param lastPart length of its last part in tokens, or {@link #UNKNOWN}
   * @param length length of the beginning in tokens, which is assumed for an unknown last part
   * @param atMs time of the use, in ms
   */
  void use(Owner owner, long hash, int lastPart, int length, long atMs) {
    int slot = find(owner, hash);
    if (slot == NONE) {
      slot = add(owner, hash);
      partTokens[slot] = lastPart == UNKNOWN ? length : lastPart;
      owner.tokens += partTokens[slot];
    } else if (atMs < usedMs[slot]) {
      return;
    } else {
      unlink(slot);
      if (lastPart != UNKNOWN) {
        owner.tokens += lastPart - partTokens[slot];
        partTokens[slot] = lastPart;
      }
    }
    usedMs[slot] = atMs;
    linkAsNewest(slot);
  }

  private int add(Owner owner, long hash) {
    if (firstFree == NONE) {
      remove(oldest);
    }
    int slot = firstFree;
    firstFree = next[slot];
    int bucket = bucket(owner, hash);
    owners[slot] = owner;
    hashes[slot] = hash;
    next[slot] = buckets[bucket];
    buckets[bucket] = slot;
    owner.prefixes++;
    size++;
    return slot;
  }

  /** Removes the beginning in a slot. */
  void remove(int slot) {
    unlink(slot);
    Owner owner = owners[slot];
    int bucket = bucket(owner, hashes[slot]);
    if (buckets[bucket] == slot) {
      buckets[bucket] = next[slot];
    } else {
      int before = buckets[bucket];
      while (next[before] != slot) {
        before = next[before];
      }
      next[before] = next[slot];
    }
    owner.tokens -= partTokens[slot];
    owner.prefixes--;
    owners[slot] = null;
    next[slot] = firstFree;
    firstFree = slot;
    size--;
  }

  private void linkAsNewest(int slot) {
    older[slot] = newest;
    newer[slot] = NONE;
    if (newest == NONE) {
      oldest = slot;
    } else {
      newer[newest] = slot;
    }
    newest = slot;
  }

  private void unlink(int slot) {
    if (older[slot] == NONE) {
      oldest = newer[slot];
    } else {
      newer[older[slot]] = newer[slot];
    }
    if (newer[slot] == NONE) {
      newest = older[slot];
    } else {
      older[newer[slot]] = older[slot];
    }
  }

  /** Returns the slot of the least recently used beginning, or {@link #NONE}. */
  int oldest() {
    return oldest;
  }

  /** Returns the slot of the beginning that was used next after another one. */
  int newerThan(int slot) {
    return newer[slot];
  }

  Owner owner(int slot) {
    return owners[slot];
  }

  long hash(int slot) {
    return hashes[slot];
  }

  long usedMs(int slot) {
    return usedMs[slot];
  }

  int size() {
    return size;
  }
}
