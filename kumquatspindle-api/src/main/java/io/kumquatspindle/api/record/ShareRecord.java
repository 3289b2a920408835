package io.kumquatspindle.api.record;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;

/** A record of the {@code shares} stream: who holds which quota slot. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ShareRecord.SlotClaimed.class, name = "slot_claimed"),
  @JsonSubTypes.Type(value = ShareRecord.SlotReleased.class, name = "slot_released"),
  @JsonSubTypes.Type(value = ShareRecord.VmGone.class, name = "vm_gone")
})
public sealed interface ShareRecord {

  /**
   * A VM claims a free slot; ignored if the slot has a holder.
   *
   * @param failureDomain the slot's failure domain
   * @param slot the slot's index, from 0
   * @param vm the VM that claims it
   * @param incarnation the control process that claims it; a restarted process claims anew
   */
  record SlotClaimed(FailureDomain failureDomain, int slot, VmId vm, String incarnation)
      implements ShareRecord {}

  /**
   * The holder gives a slot back; ignored from anyone else.
   *
   * @param failureDomain the slot's failure domain
   * @param slot the slot's index, from 0
   * @param vm the holder
   * @param incarnation the control process that gives it back
   */
  record SlotReleased(FailureDomain failureDomain, int slot, VmId vm, String incarnation)
      implements ShareRecord {}

  /**
   * The platform's list no longer shows a VM; its slots are free.
   *
   * @param vm the VM that is gone
   * @param seenBy the VM that read the list
   */
  record VmGone(VmId vm, VmId seenBy) implements ShareRecord {}
}
