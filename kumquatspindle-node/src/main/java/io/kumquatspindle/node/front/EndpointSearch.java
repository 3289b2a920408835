package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.RouteSpec;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.RequestUrgency;
import io.kumquatspindle.node.limit.MemoryRequests;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * Finds the endpoint for the next attempt of one request. Asks for the memory of a large request,
 * waits for a permit if the endpoint has a limit, for the model if no endpoint that accepts
 * requests holds it, and for a slot if all endpoints were full.
 */
final class EndpointSearch implements ModelWait.Listener, PermitWait.Listener, SlotWait.Listener {
  /** Remaining time below which a request that was not sent is rejected, in ms. */
  static final long DEADLINE_MARGIN_MS = 80;

  private final FrontContext context;
  private final Admission admission;
  private final RequestHead head;
  private final EndpointCandidates candidates;
  private final AttemptHistory history;
  private final long arrivedMs;
  private final long deadlineMs;
  private final Listener listener;
  private final PermitWait permitWait;
  private final SlotWait slotWait;
  private Optional<ModelWait> modelWait = Optional.empty();

  /** Endpoint with a limit that has just granted a permit. */
  private Optional<Endpoint> permitted = Optional.empty();

  /** Memory for this request at the endpoint that it is sent to next. */
  private Optional<MemoryRequests.Grant> grant = Optional.empty();

  /** Number of times that memory was asked for; a decision about an earlier time is not used. */
  private int memoryRequests;

  private boolean memoryRefused;
  private boolean ended;

  /** Is notified of the end of each search, unless the search was cancelled. */
  interface Listener {
    /** Called when the request can be sent to an endpoint. */
    void onFound(Endpoint endpoint);

    /** Called when the search has to be started again, after a wait. */
    void onSearchAgain();

    /** Called when no endpoint can serve the request in time. */
    void onUnavailable(ErrorKind reason, long retryAfterMs, String detail);
  }

  EndpointSearch(
      FrontContext context,
      Admission admission,
      RequestHead head,
      EndpointCandidates candidates,
      AttemptHistory history,
      long arrivedMs,
      long deadlineMs,
      Listener listener) {
    this.context = context;
    this.admission = admission;
    this.head = head;
    this.candidates = candidates;
    this.history = history;
    this.arrivedMs = arrivedMs;
    this.deadlineMs = deadlineMs;
    this.listener = listener;
    this.permitWait = new PermitWait(context, this);
    this.slotWait = new SlotWait(context, history, this);
  }

  /** Starts to search; the listener may be called before this method returns. */
  void start() {
    long now = context.node().now();
    if (candidates.exceedsMemory()) {
      context.metrics().recordMemoryRejection("too_large");
      String detail = "larger than the memory of an engine: " + head.tokens() + " tokens";
      unavailable(ErrorKind.NO_ENDPOINT, OptionalLong.empty(), detail);
      return;
    }
    Optional<Endpoint> ready = permitted.filter(e -> candidates.isUsable(e, now));
    permitted = Optional.empty();
    if (ready.isPresent()) {
      listener.onFound(ready.get());
      return;
    }
    returnGrant();
    Optional<Endpoint> next = candidates.choose(history.tried(), goalMs(), deadlineMs, now);
    if (next.filter(candidates::needsGrant).isPresent()) {
      requestMemory(next.get());
    } else if (next.filter(Endpoint::limited).isPresent()) {
      waitForPermit(next.get(), now);
    } else if (next.isPresent()) {
      listener.onFound(next.get());
    } else if (memoryRefused || candidates.lacksMemory(history.tried(), now)) {
      // Another load of the model would not be faster than the requests that end.
      context.metrics().recordMemoryRejection("full");
      String detail = "no memory for " + head.tokens() + " tokens";
      unavailable(ErrorKind.ENDPOINT_LIMITED, OptionalLong.empty(), detail);
    } else if (candidates.needsModel() && !candidates.noneAllowed()) {
      waitForModel();
    } else if (!waitForSlot(now)) {
      noEndpoint(now);
    }
  }

  private void waitForPermit(Endpoint endpoint, long now) {
    long waitMs = Math.min(route().latencyTargetMs(), deadlineMs - now - DEADLINE_MARGIN_MS);
    permitWait.start(endpoint, PermitWait.maxWaitMs(waitMs, urgency(), now));
  }

  private void requestMemory(Endpoint endpoint) {
    int asked = ++memoryRequests;
    context
        .memory()
        .request(
            endpoint,
            head.tokens(),
            deadlineMs,
            granted -> {
              if (asked == memoryRequests) {
                onMemoryDecision(endpoint, granted);
              } else {
                granted.ifPresent(MemoryRequests.Grant::giveBack);
              }
            });
  }

  private void onMemoryDecision(Endpoint endpoint, Optional<MemoryRequests.Grant> granted) {
    grant = granted;
    if (granted.isEmpty()) {
      memoryRefused = true;
      history.skip(endpoint.id());
      listener.onSearchAgain();
    } else if (endpoint.limited()) {
      waitForPermit(endpoint, context.node().now());
    } else {
      onPermitted(endpoint);
    }
  }

  /**
   * Returns the memory for the endpoint that was found, which is to be given back by the caller.
   */
  Optional<MemoryRequests.Grant> takeGrant() {
    Optional<MemoryRequests.Grant> taken = grant;
    grant = Optional.empty();
    return taken;
  }

  private void returnGrant() {
    takeGrant().ifPresent(MemoryRequests.Grant::giveBack);
  }

  private boolean waitForSlot(long now) {
    long usualMs = context.responseTimes().of(route().name()).usualMs(head.tokens());
    return slotWait.start(candidates.service(), urgency(), usualMs, candidates.pauseMs(now));
  }

  private void noEndpoint(long now) {
    String detail = "candidates " + candidates.accepting(now).size();
    if (candidates.noneAllowed()) {
      detail += candidates.home().domains().map(d -> ", domains allowed " + d).orElse("");
      context.node().metrics().counter("requests_without_domain_total").inc();
    }
    unavailable(ErrorKind.NO_ENDPOINT, candidates.pauseMs(now), detail);
  }

  private void waitForModel() {
    ended = false;
    ModelWait wait = ModelWait.start(context, head, candidates, urgency(), waitDeadlineMs(), this);
    modelWait = ended ? Optional.empty() : Optional.of(wait);
  }

  /** Returns when the caller should have the first byte, in ms. */
  private long goalMs() {
    return arrivedMs + route().latencyTargetMs();
  }

  private RequestUrgency urgency() {
    return new RequestUrgency(goalMs(), deadlineMs, admission.priority(), arrivedMs);
  }

  private RouteSpec route() {
    return admission.route();
  }

  /** Returns when to reject the request, shortly before the caller disconnects by itself. */
  private long waitDeadlineMs() {
    long timeoutMs = route().clientTimeoutMs();
    long disconnectMs = timeoutMs == Long.MAX_VALUE ? deadlineMs : arrivedMs + timeoutMs;
    return Math.min(deadlineMs, disconnectMs) - DEADLINE_MARGIN_MS;
  }

  /** Returns whether the request waits for its model. */
  boolean waitsForModel() {
    return modelWait.isPresent();
  }

  /** Ends the search without a call to the listener. */
  void cancel() {
    ended = true;
    modelWait.ifPresent(ModelWait::cancel);
    permitWait.cancel();
    slotWait.cancel();
    memoryRequests++;
    returnGrant();
  }

  /** Reports the limits as the reason if endpoints with limits rejected the request. */
  private void unavailable(ErrorKind reason, OptionalLong availableInMs, String detail) {
    OptionalLong permitMs = permitWait.retryAfterMs();
    long retryAfterMs =
        LongStream.concat(permitMs.stream(), availableInMs.stream())
            .min()
            .orElse(Exchange.DEFAULT_RETRY_AFTER_MS);
    ErrorKind kind = permitMs.isPresent() ? ErrorKind.ENDPOINT_LIMITED : reason;
    listener.onUnavailable(kind, retryAfterMs, detail);
  }

  @Override
  public void onSlotExpected() {
    listener.onSearchAgain();
  }

  @Override
  public void onNoSlot() {
    noEndpoint(context.node().now());
  }

  @Override
  public void onPermitted(Endpoint endpoint) {
    permitted = Optional.of(endpoint);
    listener.onSearchAgain();
  }

  @Override
  public void onPermitRejected(Endpoint endpoint) {
    history.skip(endpoint.id());
    listener.onSearchAgain();
  }

  @Override
  public void onModelAvailable() {
    endModelWait();
    history.clearTried();
    memoryRefused = false;
    listener.onSearchAgain();
  }

  @Override
  public void onModelUnavailable(long retryAfterMs) {
    endModelWait();
    unavailable(ErrorKind.LOAD_REFUSED, OptionalLong.of(retryAfterMs), "model " + head.model());
  }

  private void endModelWait() {
    ended = true;
    modelWait = Optional.empty();
  }
}
