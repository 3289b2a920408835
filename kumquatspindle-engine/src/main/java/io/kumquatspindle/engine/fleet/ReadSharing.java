package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which VMs read one topic of the store for others. Handles large fleets, in which each VM
 * would otherwise read the same records: the VMs of a failure domain form groups, the first VM of a
 * group reads and passes the records on, and the others take over one after the other when they
 * hear nothing from it.
 *
 * <p>All VMs have the same order, and a VM follows only VMs that precede it. So there is always one
 * that follows nobody, whatever the VMs believe about who is reachable.
 */
public final class ReadSharing {
  /**
   * Maximum number of VMs in a group. A reader sends each record to the others, and the slowest
   * links, of 7 Mbit/s, carry seven copies of what 60 endpoints write with a quarter of their rate.
   */
  private static final int MAX_GROUP_SIZE = 8;

  /** Time between the takeovers of successive VMs of a group, in ms; a read takes less. */
  private static final long TAKEOVER_STEP_MS = 50;

  private final Comparator<String> order;
  private final String self;
  private final long silenceMs;
  private long followsUntilMs = Long.MIN_VALUE / 2;

  /**
   * Creates an instance that follows nobody yet.
   *
   * @param topic name of the topic, so that each topic has other readers
   * @param self address of this VM
   * @param silenceMs time without an update after which a reader is considered gone, in ms
   */
  public ReadSharing(String topic, String self, long silenceMs) {
    this.self = self;
    this.silenceMs = silenceMs;
    this.order =
        Comparator.comparingLong((String address) -> Hashes.of(topic + '/' + address))
            .thenComparing(Comparator.naturalOrder());
  }

  /**
   * Returns the VMs to which this VM passes on what it reads: those that follow it, and those that
   * precede it, which may not be able to read themselves.
   *
   * @param peers addresses of the other VMs that can take part
   * @return the other VMs of the group
   */
  public List<String> receivers(Collection<String> peers) {
    return group(peers).stream().filter(a -> !a.equals(self)).toList();
  }

  /**
   * Returns whether other VMs may leave the reading to this one.
   *
   * @param peers addresses of the other VMs that can take part
   * @return whether VMs of the group come after this one
   */
  public boolean hasFollowers(Collection<String> peers) {
    List<String> group = group(peers);
    return group.indexOf(self) < group.size() - 1;
  }

  private List<String> group(Collection<String> peers) {
    List<String> sorted = new ArrayList<>(peers);
    sorted.add(self);
    sorted.sort(order);
    int start = sorted.indexOf(self) / MAX_GROUP_SIZE * MAX_GROUP_SIZE;
    return sorted.subList(start, Math.min(sorted.size(), start + MAX_GROUP_SIZE));
  }

  /**
   * Records an update from another VM.
   *
   * @param reader address of the VM that has read the topic
   * @param peers addresses of the other VMs that can take part
   * @param now current time, in ms
   */
  public void heard(String reader, Collection<String> peers, long now) {
    if (order.compare(reader, self) < 0) {
      int rank = group(peers).indexOf(self);
      followsUntilMs = now + silenceMs + rank * TAKEOVER_STEP_MS;
    }
  }

  /**
   * Returns for how long this VM leaves the reading to another one if it hears nothing more.
   *
   * @param now current time, in ms
   * @return time in ms; 0 if this VM reads itself
   */
  public long followsForMs(long now) {
    return Math.max(0, followsUntilMs - now);
  }
}
