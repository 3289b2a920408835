package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;

/** A record of the {@code shares} stream, which assigns quota slots to VMs. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ShareRecord.SlotClaimed.class, name = "slot_claimed"),
  @JsonSubTypes.Type(value = ShareRecord.SlotReleased.class, name = "slot_released"),
  @JsonSubTypes.Type(value = ShareRecord.VmGone.class, name = "vm_gone")
})
public sealed interface ShareRecord {

  /**
   * A VM claims a free slot; ignored if the slot is already owned.
   *
   * @param failureDomain the slot's failure domain
   * @param slot zero-based index of the slot
   * @param vm the claiming VM
   * @param incarnation incarnation of the claiming control program; after a restart it has to claim
   *     again
   */
  record SlotClaimed(FailureDomain failureDomain, int slot, VmId vm, String incarnation)
      implements ShareRecord {}

  /**
   * The owner releases a slot; ignored if the sender is not the owner.
   *
   * @param failureDomain the slot's failure domain
   * @param slot zero-based index of the slot
   * @param vm the owner
   * @param incarnation incarnation of the releasing control program
   */
  record SlotReleased(FailureDomain failureDomain, int slot, VmId vm, String incarnation)
      implements ShareRecord {}

  /**
   * A VM is no longer in the platform's VM list; its slots become free.
   *
   * @param vm the removed VM
   * @param seenBy the VM that read the list
   */
  record VmGone(VmId vm, VmId seenBy) implements ShareRecord {}
}
