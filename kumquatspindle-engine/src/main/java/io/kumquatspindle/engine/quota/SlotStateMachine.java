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
 * Computes the holders of slots by applying the records of the {@code shares} stream in order. A
 * slot has at most one holder at each offset. Not thread-safe.
 */
public final class SlotStateMachine {
  private static final Holder FREE = new Holder(null, null);

  /** Holder of every slot that has ever been held, {@link #FREE} for slots without one now. */
  private final TreeMap<Slot, Holder> slots = new TreeMap<>();

  private long nextOffset;

  private SlotStateMachine() {}

  /** Effect of a record on the slots. */
  public enum Outcome {
    /** A slot was claimed for the first time; its share of the burst starts full. */
    FIRST_CLAIM,
    /** A slot that was held before has a new holder; its share of the burst starts empty. */
    TAKEN_OVER,
    /** The holder has released a slot. */
    RELEASED,
    /** The slots of a VM that has stopped were freed. */
    FREED,
    /** The record has no effect; all VMs ignore it alike. */
    IGNORED
  }

  /**
   * Returns the state before the first record.
   *
   * @return a new state machine
   */
  public static SlotStateMachine initial() {
    return new SlotStateMachine();
  }

  /**
   * Restores a state machine from a snapshot.
   *
   * @param state the state in the snapshot
   * @return a new state machine
   */
  public static SlotStateMachine of(SlotState state) {
    SlotStateMachine stateMachine = new SlotStateMachine();
    stateMachine.nextOffset = state.nextOffset();
    for (SlotState.Held h : state.slots()) {
      Holder holder =
          h.vm().isPresent() ? new Holder(h.vm().get(), h.incarnation().orElse("")) : FREE;
      stateMachine.slots.put(h.slot(), holder);
    }
    return stateMachine;
  }

  /**
   * Returns the complete state, for a snapshot.
   *
   * @return the state
   */
  public SlotState toState() {
    List<SlotState.Held> slotStates =
        slots.entrySet().stream()
            .map(
                e ->
                    new SlotState.Held(
                        e.getKey(),
                        Optional.ofNullable(e.getValue().vm()),
                        Optional.ofNullable(e.getValue().incarnation())))
            .toList();
    return new SlotState(nextOffset, slotStates);
  }

  /**
   * Applies the next record of the stream. Records below {@link #nextOffset()} are ignored.
   *
   * @param offset the record's offset
   * @param record the record
   * @return its effect
   */
  public Outcome apply(long offset, ShareRecord record) {
    if (offset < nextOffset) {
      return Outcome.IGNORED;
    }
    nextOffset = offset + 1;
    if (record instanceof SlotClaimed r) {
      return applyClaim(r);
    }
    if (record instanceof SlotReleased r) {
      return applyRelease(r);
    }
    return applyVmGone((VmGone) record);
  }

  private Outcome applyClaim(SlotClaimed r) {
    if (r.slot() < 0 || r.incarnation() == null) {
      return Outcome.IGNORED;
    }
    Slot slot = new Slot(r.failureDomain(), r.slot());
    Holder previous = slots.get(slot);
    Holder holder = new Holder(r.vm(), r.incarnation());
    boolean heldByOtherVm = previous != null && previous != FREE && !previous.vm().equals(r.vm());
    if (heldByOtherVm || holder.equals(previous)) {
      return Outcome.IGNORED;
    }
    slots.put(slot, holder);
    return previous == null ? Outcome.FIRST_CLAIM : Outcome.TAKEN_OVER;
  }

  private Outcome applyRelease(SlotReleased r) {
    Slot slot = new Slot(r.failureDomain(), r.slot());
    if (!new Holder(r.vm(), r.incarnation()).equals(slots.get(slot))) {
      return Outcome.IGNORED;
    }
    slots.put(slot, FREE);
    return Outcome.RELEASED;
  }

  private Outcome applyVmGone(VmGone r) {
    boolean freed = false;
    for (Map.Entry<Slot, Holder> e : slots.entrySet()) {
      if (r.vm().equals(e.getValue().vm())) {
        e.setValue(FREE);
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
   * Returns whether a control process holds a slot.
   *
   * @param slot the slot
   * @param vm the VM
   * @param incarnation identifier of the control process on that VM
   * @return whether it is the holder
   */
  public boolean isHeldBy(Slot slot, VmId vm, String incarnation) {
    return new Holder(vm, incarnation).equals(slots.get(slot));
  }

  /**
   * Returns all VMs that hold slots.
   *
   * @return the VMs, also those whose slots belong to an earlier incarnation
   */
  public Set<VmId> holders() {
    Set<VmId> vms = new HashSet<>();
    slots.values().stream().filter(h -> h != FREE).forEach(h -> vms.add(h.vm()));
    return vms;
  }

  /**
   * Returns the free slots of a failure domain.
   *
   * @param failureDomain the failure domain
   * @param slotsPerDomain number of its slots
   * @return the free slots, by index
   */
  public List<Slot> freeSlots(FailureDomain failureDomain, int slotsPerDomain) {
    return IntStream.range(0, slotsPerDomain)
        .mapToObj(i -> new Slot(failureDomain, i))
        .filter(s -> slots.getOrDefault(s, FREE) == FREE)
        .toList();
  }

  private record Holder(VmId vm, String incarnation) {}
}
