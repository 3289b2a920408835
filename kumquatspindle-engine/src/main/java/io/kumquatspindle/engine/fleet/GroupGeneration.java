package io.kumquatspindle.engine.fleet;

import java.util.Comparator;

/**
 * The generation of a group in the store, with the era of the store. A store that comes back from
 * an older copy gives out the latest generations again, so that only the two together identify one
 * assignment of the group's partitions.
 *
 * @param era era of the store, 0 to {@link StoreEra#MAX}; 0 if it is not known
 * @param number generation of the group in this era, less than 2<sup>32</sup>
 */
public record GroupGeneration(long era, long number) implements Comparable<GroupGeneration> {
  /**
   * Bits of the generation in a fencing number. Fencing numbers travel as JSON numbers, of which 53
   * bits are exact; {@link StoreEra#MAX} leaves these to the generation.
   */
  private static final int NUMBER_BITS = 32;

  /** The generation of a VM that has not joined its group. */
  public static final GroupGeneration NONE = new GroupGeneration(0, 0);

  private static final Comparator<GroupGeneration> ORDER =
      Comparator.comparingLong(GroupGeneration::era).thenComparingLong(GroupGeneration::number);

  /**
   * Returns the fencing number of orders in this generation. It rises with the era as well, so that
   * no number is used again when generations are, and engines accept orders in a new era at once.
   *
   * @return the era in the upper bits, and the generation in the lower ones
   */
  public long fencingNumber() {
    return (era << NUMBER_BITS) + number;
  }

  @Override
  public int compareTo(GroupGeneration other) {
    return ORDER.compare(this, other);
  }
}
