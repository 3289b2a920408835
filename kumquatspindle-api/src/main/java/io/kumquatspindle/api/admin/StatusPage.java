package io.kumquatspindle.api.admin;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.util.List;

/**
 * Response to {@code GET /status}.
 *
 * @param vm VM of the responding control program
 * @param failureDomain its failure domain
 * @param number number of the last ticket in force on it
 * @param ticketsOffset offset of the first record of the tickets stream that it has not applied
 * @param confirmedAgoMs time since its configuration was last confirmed as current, in milliseconds
 * @param members the known fleet members
 * @param configGap whether it stopped applying tickets because records are missing
 */
public record StatusPage(
    VmId vm,
    FailureDomain failureDomain,
    long number,
    long ticketsOffset,
    long confirmedAgoMs,
    List<MemberStatus> members,
    boolean configGap) {

  /** Copies the list; a missing list is empty. */
  public StatusPage {
    members = members == null ? List.of() : List.copyOf(members);
  }
}
