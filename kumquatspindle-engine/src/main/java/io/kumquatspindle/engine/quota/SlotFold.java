package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.ShareRecord;
import io.kumquatspindle.api.record.ShareRecord.SlotClaimed;
import io.kumquatspindle.api.record.ShareRecord.SlotReleased;
import io.kumquatspindle.api.record.ShareRecord.VmGone;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Folds the {@code shares} stream into holders of slots. A slot has at most one holder at each
 * offset. One owner thread.
 */
public final class SlotFold {
  private static final Holder NONE = new Holder(null, null);

  /** Every slot that was ever held; free ones have the holder {@link #NONE}. */
  private final TreeMap<Slot, Holder> slots = new TreeMap<>();

  private long nextOffset;

  private SlotFold() {}

  /** What a record did. */
  public enum Outcome {
    /** A slot that was never held before has a holder; its bucket starts full. */
    FIRST_CLAIM,
    /** A slot that was held before has a new holder; its bucket starts empty. */
    TAKEN_OVER,
    /** The holder has given a slot back. */
    RELEASED,
    /** The slots of a VM that is gone are free. */
    FREED,
    /** The record has no effect at any VM. */
    IGNORED
  }

  /**
   * Returns the fold before the first record.
   *
   * @return a new fold
   */
  public static SlotFold initial() {
    return new SlotFold();
  }

  /**
   * Returns a fold that continues from a snapshot.
   *
   * @param state the state to continue from
   * @return a new fold
   */
  public static SlotFold of(SlotState state) {
    SlotFold fold = new SlotFold();
    fold.nextOffset = state.nextOffset();
    for (SlotState.Held h : state.slots()) {
      Holder holder =
          h.vm().isPresent() ? new Holder(h.vm().get(), h.incarnation().orElse("")) : NONE;
      fold.slots.put(h.slot(), holder);
    }
    return fold;
  }

  /**
   * Returns the complete state, for a snapshot.
   *
   * @return the state
   */
  public SlotState toState() {
    List<SlotState.Held> held =
        slots.entrySet().stream()
            .map(
                e ->
                    new SlotState.Held(
                        e.getKey(),
                        Optional.ofNullable(e.getValue().vm()),
                        Optional.ofNullable(e.getValue().incarnation())))
            .toList();
    return new SlotState(nextOffset, held);
  }

  /**
   * Applies the next record of the stream. A record at an offset that was applied before is
   * ignored.
   *
   * @param offset the record's offset
   * @param record the record
   * @return what it did
   */
  public Outcome apply(long offset, ShareRecord record) {
    if (offset < nextOffset) {
      return Outcome.IGNORED;
    }
    nextOffset = offset + 1;
    if (record instanceof SlotClaimed r) {
      return claimed(r);
    }
    if (record instanceof SlotReleased r) {
      return released(r);
    }
    return gone((VmGone) record);
  }

  private Outcome claimed(SlotClaimed r) {
    if (r.slot() < 0 || r.incarnation() == null) {
      return Outcome.IGNORED;
    }
    Slot slot = new Slot(r.failureDomain(), r.slot());
    Holder old = slots.get(slot);
    Holder holder = new Holder(r.vm(), r.incarnation());
    boolean another = old != null && old != NONE && !old.vm().equals(r.vm());
    if (another || holder.equals(old)) {
      return Outcome.IGNORED;
    }
    slots.put(slot, holder);
    return old == null ? Outcome.FIRST_CLAIM : Outcome.TAKEN_OVER;
  }

  private Outcome released(SlotReleased r) {
    Slot slot = new Slot(r.failureDomain(), r.slot());
    if (!new Holder(r.vm(), r.incarnation()).equals(slots.get(slot))) {
      return Outcome.IGNORED;
    }
    slots.put(slot, NONE);
    return Outcome.RELEASED;
  }

  private Outcome gone(VmGone r) {
    boolean freed = false;
    for (Map.Entry<Slot, Holder> e : slots.entrySet()) {
      if (r.vm().equals(e.getValue().vm())) {
        e.setValue(NONE);
        freed = true;
      }
    }
    return freed ? Outcome.FREED : Outcome.IGNORED;
  }

  /**
   * Returns the offset of the next record to apply.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the holder of a slot.
   *
   * @param slot the slot
   * @return the holder's VM, or empty if the slot is free
   */
  public Optional<VmId> holder(Slot slot) {
    return Optional.ofNullable(slots.get(slot)).map(Holder::vm);
  }

  /**
   * Tells whether a process holds a slot.
   *
   * @param slot the slot
   * @param vm the VM
   * @param incarnation the control process
   * @return whether it is the holder
   */
  public boolean isHeldBy(Slot slot, VmId vm, String incarnation) {
    return new Holder(vm, incarnation).equals(slots.get(slot));
  }

  /**
   * Returns all VMs that hold slots.
   *
   * @return the VMs, including former incarnations
   */
  public Set<VmId> holders() {
    Set<VmId> vms = new HashSet<>();
    slots.values().stream().filter(h -> h != NONE).forEach(h -> vms.add(h.vm()));
    return vms;
  }

  /**
   * Returns the free slots of a failure domain.
   *
   * @param failureDomain the failure domain
   * @param slotsPerDomain number of its slots
   * @return the free slots, in order
   */
  public List<Slot> free(FailureDomain failureDomain, int slotsPerDomain) {
    return IntStream.range(0, slotsPerDomain)
        .mapToObj(i -> new Slot(failureDomain, i))
        .filter(s -> slots.getOrDefault(s, NONE) == NONE)
        .toList();
  }

  private record Holder(VmId vm, String incarnation) {}
}
