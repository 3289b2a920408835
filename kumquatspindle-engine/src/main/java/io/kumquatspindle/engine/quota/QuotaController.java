package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.record.ShareRecord;
import io.kumquatspindle.api.record.ShareRecord.SlotClaimed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Holds the token levels of one VM for all customers. Tokens are subtracted before they are granted
 * or transferred, so a lost message loses tokens and never duplicates them. The caller applies each
 * record of the {@code shares} stream to the fold and then reports it with {@link #sharesApplied};
 * it carries out the returned actions in order. Times are milliseconds of one monotonic clock. One
 * owner thread.
 *
 * <p>What keeps the fleet within a customer's burst: granted tokens count against the VM's share of
 * the burst for {@link QuotaSettings#grantValidMs}, after which entry must have dropped them, and
 * transferred tokens count against the giver's share for {@link QuotaSettings#transferValidMs},
 * after which the receiver has dropped them. A slot that another process held is used only after
 * that process's grants and transfers have ended.
 */
public final class QuotaController {
  private final VmId vm;
  private final String incarnation;
  private final SlotFold fold;
  private final QuotaSettings settings;
  private final Slots slots;
  private final PeerChoice peers;
  private final Map<CustomerName, CustomerNeeds> customers = new HashMap<>();
  private final Map<Slot, Long> activeFromMs = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private List<QuotaAction> actions = new ArrayList<>();
  private long nextActiveMs = Long.MAX_VALUE;
  private long lastAskId;

  private QuotaController(Builder b) {
    vm = b.vm;
    incarnation = b.incarnation;
    fold = b.fold;
    settings = b.settings;
    slots = new Slots(b);
    peers = new PeerChoice(b);
    // Answers to a predecessor on the same VM must not match, so numbers start at a random one.
    lastAskId = b.random.nextLong() >>> 2;
  }

  /**
   * Returns a builder.
   *
   * @param vm the VM that the controller acts for
   * @param incarnation identifier of this controller, never used before
   * @param failureDomain the VM's failure domain
   * @param fold the fold of the {@code shares} stream, applied by the caller
   * @return the builder
   */
  public static Builder builder(
      VmId vm, String incarnation, FailureDomain failureDomain, SlotFold fold) {
    return new Builder(vm, incarnation, failureDomain, fold);
  }

  /**
   * A configuration is in force. A customer that is new to this VM starts with an empty level.
   *
   * @param value the configuration
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> configuration(Configuration value, long now) {
    configuration = value;
    slots.limits(value.limits());
    customers.keySet().retainAll(value.customers().keySet());
    for (CustomerName c : value.customers().keySet()) {
      customers.computeIfAbsent(
          c, k -> new CustomerNeeds(k, settings, new CustomerLevel(settings, now)));
    }
    divide(now);
    return act(now);
  }

  /**
   * The fold has applied a record.
   *
   * @param record the record
   * @param outcome what the fold returned
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> sharesApplied(ShareRecord record, SlotFold.Outcome outcome, long now) {
    slots.applied(record);
    boolean mine =
        record instanceof SlotClaimed c
            && c.vm().equals(vm)
            && c.incarnation().equals(incarnation)
            && outcome != SlotFold.Outcome.IGNORED;
    if (mine) {
      SlotClaimed c = (SlotClaimed) record;
      Slot slot = new Slot(c.failureDomain(), c.slot());
      boolean first = outcome == SlotFold.Outcome.FIRST_CLAIM;
      activeFromMs.put(slot, first ? now : now + settings.lentMs());
      divide(now);
      if (first) {
        customers.forEach((name, needs) -> needs.level().fill(share(slot, burst(name)), now));
      }
    } else {
      divide(now);
    }
    return act(now);
  }

  /**
   * An append that this controller asked for has an outcome.
   *
   * @param tag the tag of the append
   * @param result the outcome
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> appendFinished(long tag, AppendResult result, long now) {
    slots.appendFinished(tag, result, now);
    return act(now);
  }

  /**
   * Entry asks for tokens. Answered at once, or after peers were asked.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens wanted
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> entryRequest(long id, CustomerName customer, long tokens, long now) {
    CustomerNeeds needs = customers.get(customer);
    if (needs == null) {
      actions.add(new QuotaAction.GrantToEntry(id, customer, 0, settings.retryMs()));
    } else {
      needs.add(id, tokens, now);
    }
    return act(now);
  }

  /**
   * Entry gives tokens back, or reports a debt that later accrual repays first.
   *
   * @param customer the customer
   * @param tokens tokens given back; negative for a debt
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> entryReturned(CustomerName customer, long tokens, long now) {
    CustomerNeeds needs = customers.get(customer);
    if (needs != null) {
      needs.level().returned(tokens, now);
    }
    return act(now);
  }

  /**
   * A peer asks for tokens. What this VM's own recent demand needs soon is kept.
   *
   * @param from the peer
   * @param id number of the peer's request
   * @param customer the customer
   * @param tokens tokens wanted
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> transferRequest(
      VmId from, long id, CustomerName customer, long tokens, long now) {
    CustomerNeeds needs = customers.get(customer);
    boolean spare = needs != null && needs.isEmpty() && tokens > 0;
    long given = spare ? needs.level().lend(tokens, now) : 0;
    actions.add(new QuotaAction.SendTransfer(from, id, customer, given));
    return act(now);
  }

  /**
   * A peer has answered. An answer that is late, repeated or not asked for is dropped.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens given, 0 if none
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> transfer(long id, CustomerName customer, long tokens, long now) {
    CustomerNeeds needs = customers.get(customer);
    if (needs != null) {
      needs.transferred(id, tokens, now).ifPresent(peer -> peers.gave(customer, peer));
    }
    return act(now);
  }

  /**
   * The members of the fleet that are not known to be gone.
   *
   * @param members failure domain of each member
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> members(Map<VmId, FailureDomain> members, long now) {
    slots.members(members);
    peers.members(members);
    return act(now);
  }

  /**
   * The platform's list no longer shows a VM, which has certainly stopped.
   *
   * @param gone the VM
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> vmGone(VmId gone, long now) {
    slots.gone(gone, now);
    return act(now);
  }

  /**
   * Starts a graceful shutdown: claims no more slots and releases those held.
   *
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> stop(long now) {
    slots.stop();
    return act(now);
  }

  /**
   * Time has passed; to be called several times a second.
   *
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> tick(long now) {
    return act(now);
  }

  /**
   * Returns the level of a customer at this VM.
   *
   * @param customer the customer
   * @param now present time, in ms
   * @return whole tokens, at least 0
   */
  public long tokens(CustomerName customer, long now) {
    CustomerNeeds needs = customers.get(customer);
    return needs == null ? 0 : needs.level().tokens(now);
  }

  private List<QuotaAction> act(long now) {
    slots
        .plan(now)
        .ifPresent(
            a -> {
              divide(now);
              actions.add(a);
            });
    if (now >= nextActiveMs) {
      divide(now);
    }
    customers.values().forEach(c -> c.serve(peers, () -> ++lastAskId, actions, now));
    List<QuotaAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  /** Sets rate and burst of each customer to the share of the slots that are in use. */
  private void divide(long now) {
    List<Slot> usable = slots.usable();
    activeFromMs.keySet().retainAll(usable);
    nextActiveMs = Long.MAX_VALUE;
    List<Slot> active = new ArrayList<>();
    for (Slot s : usable) {
      long from = activeFromMs.getOrDefault(s, Long.MAX_VALUE);
      if (from <= now) {
        active.add(s);
      } else {
        nextActiveMs = Math.min(nextActiveMs, from);
      }
    }
    customers.forEach(
        (name, needs) -> {
          long rate = rate(name);
          long burst = burst(name);
          needs
              .level()
              .limits(
                  active.stream().mapToLong(s -> share(s, rate)).sum(),
                  active.stream().mapToLong(s -> share(s, burst)).sum(),
                  now);
        });
  }

  private long rate(CustomerName customer) {
    return micros(configuration.customers().get(customer).tokensPerSecond());
  }

  private long burst(CustomerName customer) {
    CustomerSpec spec = configuration.customers().get(customer);
    return micros(spec.burstTokens());
  }

  private static long micros(long tokens) {
    return Math.max(0, Math.min(TokenBucket.MOST_TOKENS, tokens)) * TokenBucket.MICROS;
  }

  /** Returns a slot's share of a quantity; the shares of all slots add up to it exactly. */
  private long share(Slot slot, long micros) {
    int position = slots.position(slot);
    int count = slots.count();
    if (position < 0 || count == 0) {
      return 0;
    }
    return micros / count + (position < micros % count ? 1 : 0);
  }

  /** Builds a {@link QuotaController}. */
  public static final class Builder {
    final VmId vm;
    final String incarnation;
    final FailureDomain failureDomain;
    final SlotFold fold;
    QuotaSettings settings = QuotaSettings.DEFAULT;
    RandomGenerator random;

    private Builder(VmId vm, String incarnation, FailureDomain failureDomain, SlotFold fold) {
      this.vm = Objects.requireNonNull(vm, "vm");
      this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
      this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
      this.fold = Objects.requireNonNull(fold, "fold");
    }

    /**
     * Sets times; without it {@link QuotaSettings#DEFAULT}.
     *
     * @param value the settings
     * @return this builder
     */
    public Builder settings(QuotaSettings value) {
      settings = Objects.requireNonNull(value, "settings");
      return this;
    }

    /**
     * Sets the source of random choices, which is required.
     *
     * @param value the source
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = Objects.requireNonNull(value, "random");
      return this;
    }

    /**
     * Returns a controller.
     *
     * @return the controller, which holds no slot yet
     */
    public QuotaController build() {
      Objects.requireNonNull(random, "random");
      return new QuotaController(this);
    }
  }
}
