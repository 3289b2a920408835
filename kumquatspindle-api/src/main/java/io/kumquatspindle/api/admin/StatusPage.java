package io.kumquatspindle.api.admin;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.util.List;

/**
 * Answer to {@code GET /status}.
 *
 * @param vm VM of the control program that answers
 * @param failureDomain its failure domain
 * @param number number of the last ticket in force there
 * @param ticketsOffset next offset of the tickets stream that has not been applied there
 * @param confirmedAgoMs time since it was last confirmed up to date, in milliseconds
 * @param members the members that it knows
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
