package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.VmId;
import java.util.List;
import java.util.Optional;

/**
 * The complete state of a {@link SlotFold}, for snapshots.
 *
 * @param nextOffset offset of the next record to apply
 * @param slots every slot that was ever held, in order
 */
public record SlotState(long nextOffset, List<Held> slots) {

  /** Copies the list. */
  public SlotState {
    slots = slots == null ? List.of() : List.copyOf(slots);
  }

  /**
   * A slot that was ever held.
   *
   * @param slot the slot
   * @param vm its holder, empty if it is free
   * @param incarnation the control process that holds it, empty if it is free
   */
  public record Held(Slot slot, Optional<VmId> vm, Optional<String> incarnation) {

    /** Replaces missing fields by empty ones. */
    public Held {
      vm = vm == null ? Optional.empty() : vm;
      incarnation = incarnation == null ? Optional.empty() : incarnation;
    }
  }
}
