package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * The complete state of a {@link SlotStateMachine}, as stored in snapshots.
 *
 * @param nextOffset offset of the next record to apply
 * @param slots every slot that has ever been held, in ascending order
 */
public record SlotState(long nextOffset, List<Held> slots) {

  /** Copies the list. */
  public SlotState {
    slots = slots == null ? List.of() : List.copyOf(slots);
  }

  /**
   * A slot that has been held at least once, and its present holder.
   *
   * @param slot the slot
   * @param vm the VM that holds it, empty if it is free
   * @param incarnation the control process that holds it, empty if it is free
   */
  public record Held(Slot slot, Optional<VmId> vm, Optional<String> incarnation) {

    /** Replaces missing fields with empty values. */
    public Held {
      vm = vm == null ? Optional.empty() : vm;
      incarnation = incarnation == null ? Optional.empty() : incarnation;
    }
  }
}
