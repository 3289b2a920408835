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

/** Claims and releases slots of one VM, at most one append at a time. */
final class Slots {
  private static final long GONE_JITTER_MS = 2_000;

  private final VmId vm;
  private final String incarnation;
  private final FailureDomain failureDomain;
  private final SlotFold fold;
  private final RandomGenerator random;
  private final long retryMs;
  private final Set<Slot> releasing = new HashSet<>();
  private final Map<VmId, Long> goneDueMs = new HashMap<>();
  private Limits limits = Limits.NONE;
  private Map<VmId, FailureDomain> members = Map.of();
  private Optional<ShareRecord> outstanding = Optional.empty();
  private long tag;
  private long notBeforeMs = Long.MIN_VALUE;
  private boolean stopping;

  Slots(QuotaController.Builder b) {
    vm = b.vm;
    incarnation = b.incarnation;
    failureDomain = b.failureDomain;
    fold = b.fold;
    random = b.random;
    retryMs = b.settings.retryMs();
  }

  void limits(Limits value) {
    limits = value;
  }

  void members(Map<VmId, FailureDomain> value) {
    members = Map.copyOf(value);
  }

  void stop() {
    stopping = true;
  }

  void gone(VmId other, long now) {
    if (!other.equals(vm) && fold.holders().contains(other)) {
      goneDueMs.computeIfAbsent(other, k -> now + random.nextLong(GONE_JITTER_MS));
    }
  }

  /** Returns the slots whose share this VM may use. */
  List<Slot> usable() {
    return all().filter(s -> fold.isHeldBy(s, vm, incarnation) && !releasing.contains(s)).toList();
  }

  /** Returns a slot's position among all slots of the site, or -1 if it has none. */
  int position(Slot slot) {
    int domain = limits.failureDomains().indexOf(slot.failureDomain());
    return domain < 0 ? -1 : domain * limits.slotsPerDomain() + slot.index();
  }

  int count() {
    return limits.failureDomains().size() * limits.slotsPerDomain();
  }

  void appendFinished(long answered, AppendResult result, long now) {
    if (answered != tag || outstanding.isEmpty()) {
      return;
    }
    if (!(result instanceof AppendResult.Appended a) || a.offset() < fold.nextOffset()) {
      // After an unknown outcome the record may still follow; the fold ignores a second claim by
      // the holder, and a slot that is being released stays unused until the fold shows it.
      outstanding = Optional.empty();
      notBeforeMs = result instanceof AppendResult.Appended ? now : now + retryMs;
    }
  }

  void applied(ShareRecord record) {
    if (outstanding.filter(record::equals).isPresent()) {
      outstanding = Optional.empty();
    }
    releasing.removeIf(s -> !fold.isHeldBy(s, vm, incarnation));
  }

  /** Appends the next record that is due. */
  Optional<QuotaAction.AppendShare> plan(long now) {
    goneDueMs.keySet().retainAll(fold.holders());
    if (outstanding.isPresent() || now < notBeforeMs) {
      return Optional.empty();
    }
    outstanding = next(now);
    return outstanding.map(r -> new QuotaAction.AppendShare(r, ++tag));
  }

  private Optional<ShareRecord> next(long now) {
    for (Map.Entry<VmId, Long> e : goneDueMs.entrySet()) {
      if (e.getValue() <= now) {
        return Optional.of(new ShareRecord.VmGone(e.getKey(), vm));
      }
    }
    if (!releasing.isEmpty()) {
      return Optional.of(release(releasing.iterator().next()));
    }
    List<Slot> mine = usable();
    if (stopping) {
      return mine.isEmpty() ? Optional.empty() : Optional.of(release(mine.get(0)));
    }
    Optional<Slot> former =
        all()
            .filter(s -> fold.holder(s).filter(vm::equals).isPresent())
            .filter(s -> !fold.isHeldBy(s, vm, incarnation))
            .findFirst();
    if (former.isPresent()) {
      return former.map(this::claim);
    }
    List<Slot> free = fold.free(failureDomain, limits.slotsPerDomain());
    Map<VmId, Integer> targets = targets();
    int target = targets.getOrDefault(vm, 0);
    if (limits.failureDomains().contains(failureDomain)
        && !free.isEmpty()
        && mine.size() < target) {
      return Optional.of(claim(free.get(random.nextInt(free.size()))));
    }
    if (free.isEmpty() && mine.size() > target && isAnyBelow(targets)) {
      return Optional.of(release(mine.get(mine.size() - 1)));
    }
    return Optional.empty();
  }

  private ShareRecord claim(Slot s) {
    return new ShareRecord.SlotClaimed(s.failureDomain(), s.index(), vm, incarnation);
  }

  /** The slot must not be used from here on, since another VM may hold it once the log has it. */
  private ShareRecord release(Slot s) {
    releasing.add(s);
    return new ShareRecord.SlotReleased(s.failureDomain(), s.index(), vm, incarnation);
  }

  /** Returns the even share of each member of the failure domain, in slots. */
  private Map<VmId, Integer> targets() {
    TreeSet<VmId> here = new TreeSet<>();
    here.add(vm);
    members.forEach(
        (member, domain) -> {
          if (domain.equals(failureDomain)) {
            here.add(member);
          }
        });
    List<VmId> sorted = new ArrayList<>(here);
    Map<VmId, Integer> targets = new TreeMap<>();
    for (int i = 0; i < sorted.size(); i++) {
      int extra = i < limits.slotsPerDomain() % sorted.size() ? 1 : 0;
      targets.put(sorted.get(i), limits.slotsPerDomain() / sorted.size() + extra);
    }
    return targets;
  }

  private boolean isAnyBelow(Map<VmId, Integer> targets) {
    Map<VmId, Integer> held = new HashMap<>();
    all().forEach(s -> fold.holder(s).ifPresent(h -> held.merge(h, 1, Integer::sum)));
    return targets.entrySet().stream()
        .anyMatch(e -> held.getOrDefault(e.getKey(), 0) < e.getValue());
  }

  private Stream<Slot> all() {
    return IntStream.range(0, limits.slotsPerDomain()).mapToObj(i -> new Slot(failureDomain, i));
  }
}
