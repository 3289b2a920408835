package io.kumquatspindle.engine.fleet;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ResponseHead;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;

/**
 * This VM's view of one endpoint: its latest entry, overridden by more recent updates about
 * individual models, and the requests that this VM has sent to it. Not thread-safe: confined to one
 * owner thread.
 */
public final class Endpoint {
  /**
   * Age after which a reported load is ignored; under load, several reports arrive within this
   * time.
   */
  static final long LOAD_VALID_MS = 400;

  /** Initial time for which an endpoint is avoided after a failed connection attempt, in ms. */
  private static final long CONNECT_BACKOFF_MS = 1_500;

  /**
   * Maximum number of doublings of the backoff: up to 12 s, the time within which the platform
   * expects an endpoint to recover.
   */
  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  private final HoldingUpdates recentUpdates = new HoldingUpdates();
  private final Consumer<String> onHoldingChanged;
  private final long hash;
  private final ReportedWorkTime reportedWorkTime = new ReportedWorkTime();
  private final FailureRate failureRate = new FailureRate();
  private final ColdPeriod coldPeriod = new ColdPeriod();
  private EndpointEntry entry;
  private int inFlight;
  private Optional<ResponseHead.Load> reportedLoad = Optional.empty();
  private long reportedLoadAtMs;
  private long avoidUntilMs;
  private int connectFailures;
  private boolean announcedLeaving;
  private long refusesUntilMs;
  private OptionalDouble limitPerS = OptionalDouble.empty();
  private long limitHeardMs = Long.MIN_VALUE / 2;

  /**
   * Creates the view of an endpoint.
   *
   * @param entry its entry
   * @param onHoldingChanged called with the name of a model when what the endpoint holds of it may
   *     have changed
   */
  Endpoint(EndpointEntry entry, Consumer<String> onHoldingChanged) {
    this.entry = entry;
    this.onHoldingChanged = onHoldingChanged;
    this.hash = Hashes.of(entry.id());
  }

  /** Returns a hash of the endpoint ID. */
  long hash() {
    return hash;
  }

  public EndpointEntry entry() {
    return entry;
  }

  void updateEntry(EndpointEntry newer, long now) {
    entry = newer;
    recentUpdates.removeKnownToEntry(now).forEach(onHoldingChanged);
  }

  public String id() {
    return entry.id();
  }

  /**
   * Returns the identity of this start of the endpoint: another start knows nothing of what this
   * one has said.
   *
   * @return text that is the same on all VMs
   */
  public String instance() {
    return entry.id() + "/" + entry.startedAtMs();
  }

  public int inFlight() {
    return inFlight;
  }

  /** Increments the number of requests in flight. */
  public void requestStarted() {
    inFlight++;
  }

  /** Decrements the number of requests in flight. */
  public void requestEnded() {
    inFlight--;
  }

  /**
   * Records the load that the endpoint reported in a response.
   *
   * @param reported the load
   * @param now current time, in ms
   */
  public void recordLoad(ResponseHead.Load reported, long now) {
    reportedLoad = Optional.of(reported);
    reportedLoadAtMs = now;
    reportedWorkTime.record(reported.workTimePercent(), now);
  }

  /** Returns how long work takes at this endpoint by its latest statement. */
  ReportedWorkTime reportedWorkTime() {
    return reportedWorkTime;
  }

  /**
   * Records the outcome of a request.
   *
   * @param failed whether the endpoint failed the request
   * @param now current time, in ms
   */
  public void recordOutcome(boolean failed, long now) {
    connectFailures = 0;
    failureRate.record(failed, now);
  }

  /**
   * Returns the moving average of the share of failed requests.
   *
   * @param now current time, in ms
   * @return failure rate, 0 to 1
   */
  public double failureRate(long now) {
    return failureRate.value(now);
  }

  /**
   * Gives other endpoints precedence for a time. An avoided endpoint is still used if there is no
   * other.
   *
   * @param untilMs end of that time, in ms
   */
  public void avoidUntil(long untilMs) {
    avoidUntilMs = Math.max(avoidUntilMs, untilMs);
  }

  /** Adopts what the endpoint has said about its availability before its entry came back. */
  void keepAnnouncements(Endpoint before) {
    announcedLeaving = before.announcedLeaving;
    refuseUntil(before.refusesUntilMs);
    recordLimit(before.limitPerS, before.limitHeardMs);
  }

  /** Records that the endpoint said in a response that it is leaving. */
  void announceLeaving() {
    announcedLeaving = true;
  }

  /**
   * Returns whether the endpoint accepts no new requests, by its entry or by its own word, which
   * comes first. It holds until the endpoint restarts.
   *
   * @return whether it is leaving
   */
  public boolean leaving() {
    return announcedLeaving || entry.leaving();
  }

  /**
   * Records that the endpoint rejected a request of this VM and asked for a pause.
   *
   * @param untilMs end of the pause, in ms
   */
  void refuseUntil(long untilMs) {
    refusesUntilMs = Math.max(refusesUntilMs, untilMs);
    avoidUntil(untilMs);
  }

  /**
   * Returns whether the endpoint wants no requests of this VM. Unlike an avoided endpoint it is not
   * used even if there is no other.
   *
   * @param now current time, in ms
   * @return whether a pause that it asked for has not ended
   */
  public boolean refuses(long now) {
    return now < refusesUntilMs;
  }

  /**
   * Returns the time until the endpoint accepts requests of this VM again.
   *
   * @param now current time, in ms
   * @return time in ms; 0 or less if it accepts them
   */
  public long refusesForMs(long now) {
    return refusesUntilMs - now;
  }

  /**
   * Records what the endpoint has last said about its limit. Statements may arrive in another order
   * than they were made, from peers too; an earlier one is ignored.
   *
   * @param statedPerS requests a second from all VMs together, or empty if there is no limit
   * @param heardMs when a VM received the statement, in ms
   * @return whether the limit has changed
   */
  boolean recordLimit(OptionalDouble statedPerS, long heardMs) {
    if (heardMs < limitHeardMs) {
      return false;
    }
    limitHeardMs = heardMs;
    boolean changed = !statedPerS.equals(limitPerS);
    limitPerS = statedPerS;
    return changed;
  }

  /** Returns whether and for how long the endpoint is cold. */
  ColdPeriod coldPeriod() {
    return coldPeriod;
  }

  /**
   * Returns whether the endpoint is cold, and its service has a bound for that.
   *
   * @return whether the bound applies
   */
  public boolean cold() {
    return coldPeriod.bounds();
  }

  /**
   * Returns the requests a second that the endpoint accepts from all VMs together, by its own word
   * or because it is cold.
   *
   * @return the limit, or empty if there is none
   */
  public OptionalDouble limitPerS() {
    return coldPeriod.limitPerS(limitPerS);
  }

  /**
   * Returns the limit that the endpoint itself has stated.
   *
   * @return the limit, or empty if there is none
   */
  public OptionalDouble statedLimitPerS() {
    return limitPerS;
  }

  /**
   * Returns whether the endpoint accepts a limited number of requests a second.
   *
   * @return whether there is a limit
   */
  public boolean limited() {
    return limitPerS().isPresent();
  }

  /**
   * Returns whether the endpoint itself states a limit. Decisions about loads and replicas use
   * this: a cold endpoint has no limit any more when a load would end.
   *
   * @return whether there is such a limit
   */
  public boolean statesLimit() {
    return limitPerS.isPresent();
  }

  /**
   * Returns when a VM last received what the endpoint says about its limit.
   *
   * @return time in ms; long ago if it has said nothing
   */
  public long limitHeardMs() {
    return limitHeardMs;
  }

  /**
   * Returns whether requests can be expected to be served here as usual, perhaps after a cold
   * period.
   *
   * @param now current time, in ms
   * @return whether the endpoint is not avoided and states no limit
   */
  public boolean unrestricted(long now) {
    return !avoided(now) && !statesLimit();
  }

  /**
   * Records a failed connection attempt, and avoids the endpoint with exponential backoff.
   *
   * @param now current time, in ms
   */
  public void recordConnectFailure(long now) {
    avoidUntil(now + (CONNECT_BACKOFF_MS << Math.min(connectFailures, MAX_BACKOFF_DOUBLINGS)));
    connectFailures++;
  }

  /**
   * Returns whether other endpoints currently take precedence.
   *
   * @param now current time, in ms
   * @return whether the endpoint is avoided
   */
  public boolean avoided(long now) {
    return now < avoidUntilMs;
  }

  /**
   * Applies an update about a model or an adapter that is more recent than the entry.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string for the model itself
   * @param held whether the endpoint holds the model or adapter
   * @param now current time, in ms
   */
  public void updateHolding(String model, String adapter, boolean held, long now) {
    recentUpdates.add(model, adapter, held, now);
    onHoldingChanged.accept(model);
  }

  /**
   * Returns when the update about a model expires, in ms, or {@link Long#MAX_VALUE} if there is
   * none.
   */
  long updateValidUntilMs(String model, long now) {
    return recentUpdates.validUntilMs(model, now);
  }

  /**
   * Returns whether the endpoint holds a model, and the adapter if one is given.
   *
   * @param model name of the model
   * @param adapter name of the adapter, or an empty string
   * @param now current time, in ms
   * @return whether it holds them, to the knowledge of this VM
   */
  public boolean holds(String model, String adapter, long now) {
    if (!heldNow(model, "", now)) {
      return false;
    }
    return adapter.isEmpty() || heldNow(model, adapter, now);
  }

  /**
   * Returns the models that the endpoint holds, to the knowledge of this VM.
   *
   * @param now current time, in ms
   * @return names of the models
   */
  public Set<String> models(long now) {
    Set<String> names = new HashSet<>();
    entry.models().forEach(m -> names.add(m.name()));
    names.addAll(recentUpdates.models());
    names.removeIf(m -> !heldNow(m, "", now));
    return names;
  }

  /**
   * Returns the estimated slot utilization; greater than 1 if requests are queued.
   *
   * @param now current time, in ms
   * @return occupied and queued requests, as a fraction of the slots
   */
  public double utilization(long now) {
    int slots = Math.max(1, entry.slots());
    double ownShare = (double) inFlight / slots;
    if (reportedLoad.isEmpty() || now - reportedLoadAtMs > LOAD_VALID_MS) {
      return ownShare;
    }
    ResponseHead.Load l = reportedLoad.get();
    return Math.max(ownShare, (double) (l.running() + l.waiting()) / Math.max(1, l.slots()));
  }

  private boolean heldNow(String model, String adapter, long now) {
    Optional<Boolean> update = recentUpdates.held(model, adapter, now);
    if (update.isPresent()) {
      return update.get();
    }
    for (LoadedModel m : entry.models()) {
      if (m.name().equals(model)) {
        return adapter.isEmpty() || m.adapters().contains(adapter);
      }
    }
    return false;
  }
}
