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
 * Rate limiter of one VM for all customers. Tokens are subtracted before they are granted or
 * transferred, so a lost message loses tokens but never duplicates them. The caller applies each
 * record of the {@code shares} stream to the state machine and then calls {@link
 * #shareRecordApplied}. It carries out the returned actions in order. Times are in milliseconds on
 * one monotonic clock. Not thread-safe.
 *
 * <p>Three rules keep the fleet within a customer's burst. Granted tokens count against the VM's
 * share of the burst for {@link QuotaSettings#grantValidMs}, after which entry has discarded them.
 * Transferred tokens count against the lender's share for {@link QuotaSettings#transferValidMs},
 * after which the borrower has discarded them. A slot that another process held is used only after
 * that process's grants and transfers have expired.
 */
public final class QuotaController {
  private final VmId vm;
  private final String incarnation;
  private final SlotStateMachine stateMachine;
  private final QuotaSettings settings;
  private final SlotManager slots;
  private final PeerSelector peers;
  private final Map<CustomerName, TokenRequestQueue> customers = new HashMap<>();
  private final Map<Slot, Long> activeFromMs = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private List<QuotaAction> actions = new ArrayList<>();
  private long nextActivationMs = Long.MAX_VALUE;
  private long lastPeerRequestId;

  private QuotaController(Builder b) {
    vm = b.vm;
    incarnation = b.incarnation;
    stateMachine = b.stateMachine;
    settings = b.settings;
    slots = new SlotManager(b);
    peers = new PeerSelector(b);
    // Numbers start at a random value, so that replies to an earlier process on this VM don't
    // match.
    lastPeerRequestId = b.random.nextLong() >>> 2;
  }

  /**
   * Returns a builder.
   *
   * @param vm the VM that the controller acts for
   * @param incarnation identifier of this process, never reused
   * @param failureDomain the VM's failure domain
   * @param stateMachine the state machine of the {@code shares} stream, to which the caller applies
   *     records
   * @return the builder
   */
  public static Builder builder(
      VmId vm, String incarnation, FailureDomain failureDomain, SlotStateMachine stateMachine) {
    return new Builder(vm, incarnation, failureDomain, stateMachine);
  }

  /**
   * Handles a new configuration. A customer that is new to this VM starts with an empty bucket.
   *
   * @param value the configuration
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> configurationChanged(Configuration value, long now) {
    configuration = value;
    slots.setLimits(value.limits());
    customers.keySet().retainAll(value.customers().keySet());
    for (CustomerName c : value.customers().keySet()) {
      customers.computeIfAbsent(
          c, k -> new TokenRequestQueue(k, settings, new CustomerBucket(settings, now)));
    }
    updateLimits(now);
    return nextActions(now);
  }

  /**
   * Handles a record that the state machine has applied.
   *
   * @param record the record
   * @param outcome what the state machine returned
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> shareRecordApplied(
      ShareRecord record, SlotStateMachine.Outcome outcome, long now) {
    slots.recordApplied(record);
    boolean ownClaim =
        record instanceof SlotClaimed c
            && c.vm().equals(vm)
            && c.incarnation().equals(incarnation)
            && outcome != SlotStateMachine.Outcome.IGNORED;
    if (ownClaim) {
      SlotClaimed c = (SlotClaimed) record;
      Slot slot = new Slot(c.failureDomain(), c.slot());
      boolean firstClaim = outcome == SlotStateMachine.Outcome.FIRST_CLAIM;
      activeFromMs.put(slot, firstClaim ? now : now + settings.transferCountedMs());
      updateLimits(now);
      if (firstClaim) {
        customers.forEach(
            (name, requests) ->
                requests.bucket().addInitialBurst(share(slot, burstMicros(name)), now));
      }
    } else {
      updateLimits(now);
    }
    return nextActions(now);
  }

  /**
   * Handles the result of an append that this controller requested.
   *
   * @param tag the tag of the append
   * @param result the result
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> appendFinished(long tag, AppendResult result, long now) {
    slots.appendFinished(tag, result, now);
    return nextActions(now);
  }

  /**
   * Handles entry's request for tokens, answered at once or after peers have been asked.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens requested
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> entryRequested(long id, CustomerName customer, long tokens, long now) {
    TokenRequestQueue requests = customers.get(customer);
    if (requests == null) {
      actions.add(new QuotaAction.GrantToEntry(id, customer, 0, settings.retryMs()));
    } else {
      requests.add(id, tokens, now);
    }
    return nextActions(now);
  }

  /**
   * Handles tokens that entry returns, or a debt, which future accrual pays off first.
   *
   * @param customer the customer
   * @param tokens tokens returned; negative for a debt
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> entryReturned(CustomerName customer, long tokens, long now) {
    TokenRequestQueue requests = customers.get(customer);
    if (requests != null) {
      requests.bucket().addReturned(tokens, now);
    }
    return nextActions(now);
  }

  /**
   * Handles a peer's transfer request. Tokens reserved for this VM's own demand are not lent.
   *
   * @param from the peer
   * @param id number of the peer's request
   * @param customer the customer
   * @param tokens tokens requested
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> transferRequested(
      VmId from, long id, CustomerName customer, long tokens, long now) {
    TokenRequestQueue requests = customers.get(customer);
    boolean mayLend = requests != null && requests.isEmpty() && tokens > 0;
    long lent = mayLend ? requests.bucket().lend(tokens, now) : 0;
    actions.add(new QuotaAction.SendTransfer(from, id, customer, lent));
    return nextActions(now);
  }

  /**
   * Handles a peer's reply. Late, repeated and unsolicited replies are ignored.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens transferred, 0 if none
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> transferReceived(long id, CustomerName customer, long tokens, long now) {
    TokenRequestQueue requests = customers.get(customer);
    if (requests != null) {
      requests
          .transferReceived(id, tokens, now)
          .ifPresent(peer -> peers.recordLender(customer, peer));
    }
    return nextActions(now);
  }

  /**
   * Sets the members of the fleet that are not known to have stopped.
   *
   * @param members failure domain of each member
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> membersChanged(Map<VmId, FailureDomain> members, long now) {
    slots.setMembers(members);
    peers.setMembers(members);
    return nextActions(now);
  }

  /**
   * Handles the removal of a VM from the platform's list, which proves that the VM has stopped.
   *
   * @param gone the stopped VM
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> vmGone(VmId gone, long now) {
    slots.vmGone(gone, now);
    return nextActions(now);
  }

  /**
   * Starts a graceful shutdown: claims no more slots and releases those it holds.
   *
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> stop(long now) {
    slots.stop();
    return nextActions(now);
  }

  /**
   * Handles the passing of time; to be called several times a second.
   *
   * @param now present time, in ms
   * @return actions
   */
  public List<QuotaAction> tick(long now) {
    return nextActions(now);
  }

  /**
   * Returns the tokens available to a customer at this VM.
   *
   * @param customer the customer
   * @param now present time, in ms
   * @return whole tokens, at least 0
   */
  public long tokens(CustomerName customer, long now) {
    TokenRequestQueue requests = customers.get(customer);
    return requests == null ? 0 : requests.bucket().tokens(now);
  }

  private List<QuotaAction> nextActions(long now) {
    slots
        .nextAppend(now)
        .ifPresent(
            a -> {
              updateLimits(now);
              actions.add(a);
            });
    if (now >= nextActivationMs) {
      updateLimits(now);
    }
    customers.values().forEach(c -> c.process(peers, () -> ++lastPeerRequestId, actions, now));
    List<QuotaAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }

  /** Sets each customer's rate and burst to the shares of the active slots. */
  private void updateLimits(long now) {
    List<Slot> usable = slots.usableSlots();
    activeFromMs.keySet().retainAll(usable);
    nextActivationMs = Long.MAX_VALUE;
    List<Slot> active = new ArrayList<>();
    for (Slot s : usable) {
      long activeFrom = activeFromMs.getOrDefault(s, Long.MAX_VALUE);
      if (activeFrom <= now) {
        active.add(s);
      } else {
        nextActivationMs = Math.min(nextActivationMs, activeFrom);
      }
    }
    customers.forEach(
        (name, requests) -> {
          long rate = rateMicros(name);
          long burst = burstMicros(name);
          requests
              .bucket()
              .setLimits(
                  active.stream().mapToLong(s -> share(s, rate)).sum(),
                  active.stream().mapToLong(s -> share(s, burst)).sum(),
                  now);
        });
  }

  private long rateMicros(CustomerName customer) {
    return toMicros(configuration.customers().get(customer).tokensPerSecond());
  }

  private long burstMicros(CustomerName customer) {
    CustomerSpec spec = configuration.customers().get(customer);
    return toMicros(spec.burstTokens());
  }

  private static long toMicros(long tokens) {
    return Math.max(0, Math.min(TokenBucket.MAX_TOKENS, tokens)) * TokenBucket.MICROS_PER_TOKEN;
  }

  /** Returns a slot's share of an amount; the shares of all slots add up to it exactly. */
  private long share(Slot slot, long micros) {
    int position = slots.position(slot);
    int count = slots.totalSlots();
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
    final SlotStateMachine stateMachine;
    QuotaSettings settings = QuotaSettings.DEFAULT;
    RandomGenerator random;

    private Builder(
        VmId vm, String incarnation, FailureDomain failureDomain, SlotStateMachine stateMachine) {
      this.vm = Objects.requireNonNull(vm, "vm");
      this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
      this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
      this.stateMachine = Objects.requireNonNull(stateMachine, "stateMachine");
    }

    /**
     * Sets timing and limits; the default is {@link QuotaSettings#DEFAULT}.
     *
     * @param value the settings
     * @return this builder
     */
    public Builder settings(QuotaSettings value) {
      settings = Objects.requireNonNull(value, "settings");
      return this;
    }

    /**
     * Sets the random generator, which is required.
     *
     * @param value the generator
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = Objects.requireNonNull(value, "random");
      return this;
    }

    /**
     * Builds the controller.
     *
     * @return a new controller, which has claimed no slot yet
     */
    public QuotaController build() {
      Objects.requireNonNull(random, "random");
      return new QuotaController(this);
    }
  }
}
