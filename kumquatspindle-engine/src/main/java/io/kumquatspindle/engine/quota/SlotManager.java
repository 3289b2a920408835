package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.record.ShareRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Claims and releases slots for one VM, with at most one append pending at a time. */
final class SlotManager {
  /** Upper bound of a random delay, so that not every VM reports the same stopped VM. */
  private static final long GONE_REPORT_JITTER_MS = 2_000;

  private final VmId vm;
  private final String incarnation;
  private final FailureDomain failureDomain;
  private final SlotStateMachine stateMachine;
  private final RandomGenerator random;
  private final long retryMs;
  private final Set<Slot> releasing = new HashSet<>();
  private final Map<VmId, Long> goneReportDueMs = new HashMap<>();
  private Limits limits = Limits.NONE;
  private Map<VmId, FailureDomain> members = Map.of();
  private Optional<ShareRecord> pendingAppend = Optional.empty();
  private long lastTag;
  private long nextAppendMs = Long.MIN_VALUE;
  private boolean stopping;

  SlotManager(QuotaController.Builder b) {
    vm = b.vm;
    incarnation = b.incarnation;
    failureDomain = b.failureDomain;
    stateMachine = b.stateMachine;
    random = b.random;
    retryMs = b.settings.retryMs();
  }

  void setLimits(Limits value) {
    limits = value;
  }

  void setMembers(Map<VmId, FailureDomain> value) {
    members = Map.copyOf(value);
  }

  void stop() {
    stopping = true;
  }

  void vmGone(VmId other, long now) {
    if (!other.equals(vm) && stateMachine.holders().contains(other)) {
      goneReportDueMs.computeIfAbsent(other, k -> now + random.nextLong(GONE_REPORT_JITTER_MS));
    }
  }

  /** Returns the slots that this process holds and is not releasing. */
  List<Slot> usableSlots() {
    return domainSlots()
        .filter(s -> stateMachine.isHeldBy(s, vm, incarnation) && !releasing.contains(s))
        .toList();
  }

  /** Returns a slot's position among all slots of the site, or -1 if its domain is unknown. */
  int position(Slot slot) {
    int domain = limits.failureDomains().indexOf(slot.failureDomain());
    return domain < 0 ? -1 : domain * limits.slotsPerDomain() + slot.index();
  }

  int totalSlots() {
    return limits.failureDomains().size() * limits.slotsPerDomain();
  }

  void appendFinished(long tag, AppendResult result, long now) {
    if (tag != lastTag || pendingAppend.isEmpty()) {
      return;
    }
    if (!(result instanceof AppendResult.Appended a) || a.offset() < stateMachine.nextOffset()) {
      // If the outcome is unknown, the record may still appear in the log. The state machine
      // ignores a
      // repeated claim, and a slot that is being released stays unused until the state machine
      // shows the
      // release.
      pendingAppend = Optional.empty();
      nextAppendMs = result instanceof AppendResult.Appended ? now : now + retryMs;
    }
  }

  void recordApplied(ShareRecord record) {
    if (pendingAppend.filter(record::equals).isPresent()) {
      pendingAppend = Optional.empty();
    }
    releasing.removeIf(s -> !stateMachine.isHeldBy(s, vm, incarnation));
  }

  /** Returns the append of the next record that is due, unless one is pending or delayed. */
  Optional<QuotaAction.AppendShare> nextAppend(long now) {
    goneReportDueMs.keySet().retainAll(stateMachine.holders());
    if (pendingAppend.isPresent() || now < nextAppendMs) {
      return Optional.empty();
    }
    pendingAppend = nextRecord(now);
    return pendingAppend.map(r -> new QuotaAction.AppendShare(r, ++lastTag));
  }

  private Optional<ShareRecord> nextRecord(long now) {
    for (Map.Entry<VmId, Long> e : goneReportDueMs.entrySet()) {
      if (e.getValue() <= now) {
        return Optional.of(new ShareRecord.VmGone(e.getKey(), vm));
      }
    }
    if (!releasing.isEmpty()) {
      return Optional.of(startRelease(releasing.iterator().next()));
    }
    List<Slot> ownSlots = usableSlots();
    if (stopping) {
      return ownSlots.isEmpty() ? Optional.empty() : Optional.of(startRelease(ownSlots.get(0)));
    }
    Optional<Slot> heldByPredecessor =
        domainSlots()
            .filter(s -> stateMachine.holder(s).filter(vm::equals).isPresent())
            .filter(s -> !stateMachine.isHeldBy(s, vm, incarnation))
            .findFirst();
    if (heldByPredecessor.isPresent()) {
      return heldByPredecessor.map(this::claimRecord);
    }
    List<Slot> free = stateMachine.freeSlots(failureDomain, limits.slotsPerDomain());
    Map<VmId, Integer> targets = targets();
    int target = targets.getOrDefault(vm, 0);
    if (limits.failureDomains().contains(failureDomain)
        && !free.isEmpty()
        && ownSlots.size() < target) {
      return Optional.of(claimRecord(free.get(random.nextInt(free.size()))));
    }
    if (free.isEmpty() && ownSlots.size() > target && isAnyBelowTarget(targets)) {
      return Optional.of(startRelease(ownSlots.get(ownSlots.size() - 1)));
    }
    return Optional.empty();
  }

  private ShareRecord claimRecord(Slot s) {
    return new ShareRecord.SlotClaimed(s.failureDomain(), s.index(), vm, incarnation);
  }

  /**
   * Returns the release record and stops using the slot at once, since another VM may claim it as
   * soon as the record is in the log.
   */
  private ShareRecord startRelease(Slot s) {
    releasing.add(s);
    return new ShareRecord.SlotReleased(s.failureDomain(), s.index(), vm, incarnation);
  }

  /** Returns how many slots each VM of the failure domain should hold, divided evenly. */
  private Map<VmId, Integer> targets() {
    TreeSet<VmId> domainMembers = new TreeSet<>();
    domainMembers.add(vm);
    members.forEach(
        (member, domain) -> {
          if (domain.equals(failureDomain)) {
            domainMembers.add(member);
          }
        });
    List<VmId> sorted = new ArrayList<>(domainMembers);
    Map<VmId, Integer> targets = new TreeMap<>();
    for (int i = 0; i < sorted.size(); i++) {
      int extra = i < limits.slotsPerDomain() % sorted.size() ? 1 : 0;
      targets.put(sorted.get(i), limits.slotsPerDomain() / sorted.size() + extra);
    }
    return targets;
  }

  private boolean isAnyBelowTarget(Map<VmId, Integer> targets) {
    Map<VmId, Integer> held = new HashMap<>();
    domainSlots()
        .forEach(s -> stateMachine.holder(s).ifPresent(h -> held.merge(h, 1, Integer::sum)));
    return targets.entrySet().stream()
        .anyMatch(e -> held.getOrDefault(e.getKey(), 0) < e.getValue());
  }

  private Stream<Slot> domainSlots() {
    return IntStream.range(0, limits.slotsPerDomain()).mapToObj(i -> new Slot(failureDomain, i));
  }
}
