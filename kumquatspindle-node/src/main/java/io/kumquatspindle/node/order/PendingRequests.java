package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.engine.fleet.ReturnTimes;
import io.kumquatspindle.node.NodeContext;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

/** Holds requests until an endpoint holds their model or adapter. */
public final class PendingRequests {
  /** Interval at which an unmet load request is repeated, perhaps at another endpoint, in ms. */
  private static final long LOAD_REQUEST_INTERVAL_MS = 1_000;

  /**
   * Maximum number of requests that may wait at one VM; each keeps its body, some KB, in memory.
   */
  private static final int MAX_PENDING = 1_000;

  /**
   * Time after which a caller may retry when {@link #MAX_PENDING} requests wait, or when no
   * endpoint may serve it, in ms.
   */
  private static final long FULL_RETRY_AFTER_MS = 1_000;

  /** Interval between checks whether waiting requests can still be served in time, in ms. */
  private static final long DEADLINE_CHECK_INTERVAL_MS = 100;

  private final NodeContext node;
  private final ModelLoader loader;

  /**
   * Time between the retries of callers that were rejected, in ms, so that they do not come back
   * together; several times the processor time of a request.
   */
  private static final long RETRY_SPACING_MS = 10;

  private final ReturnTimes returnTimes = new ReturnTimes();
  private final Map<Key, Queue> queues = new LinkedHashMap<>();
  private final UnmetLoadRequests unmetLoads = new UnmetLoadRequests();
  private int pendingCount;
  private Runnable workListener = () -> {};
  private IntSupplier otherWaiting = () -> 0;

  private record Key(String service, String model, String adapter, Home home) {
    private String artifact() {
      return service + "/" + model + home.domains().map(d -> "/" + d).orElse("");
    }
  }

  private static final class Queue {
    private final List<PendingRequest> requests = new ArrayList<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private long lastLoadRequestMs = Long.MIN_VALUE / 2;
    private long lastDeadlineCheckMs = Long.MIN_VALUE / 2;
  }

  /**
   * Creates an instance without requests.
   *
   * @param node shared context
   * @param loader receives load requests
   */
  public PendingRequests(NodeContext node, ModelLoader loader) {
    this.node = node;
    this.loader = loader;
  }

  /**
   * Sets the listener that is called when a request has been added, so that {@link #tick} has work.
   *
   * @param listener the listener, called on the event loop
   */
  public void setWorkListener(Runnable listener) {
    workListener = listener;
  }

  /**
   * Sets the source of the number of requests that wait for other reasons.
   *
   * @param count returns the number
   */
  public void setOtherWaiting(IntSupplier count) {
    otherWaiting = count;
  }

  /**
   * Returns whether {@link #tick} has work.
   *
   * @return whether requests are waiting
   */
  public boolean hasWork() {
    return !queues.isEmpty();
  }

  /**
   * Adds a request; it either proceeds, is rejected or is removed by {@link #remove}.
   *
   * @param request the request
   */
  public void add(PendingRequest request) {
    Optional<EngineInfo> engine =
        node.configuration().flatMap(c -> c.service(request.service())).flatMap(s -> s.engine());
    if (engine.isEmpty() || !engine.get().models().containsKey(request.model())) {
      request.reject(FULL_RETRY_AFTER_MS);
      return;
    }
    if (pendingCount + otherWaiting.getAsInt() >= MAX_PENDING && !makeRoomFor(request)) {
      request.reject(retryAfterMs(FULL_RETRY_AFTER_MS));
      return;
    }
    Key key = key(request);
    Queue q = queues.computeIfAbsent(key, k -> new Queue());
    q.requests.add(request);
    pendingCount++;
    workListener.run();
    requestLoad(key, q);
    long readyMs =
        loader.readyInMs(request.service(), request.model(), request.adapter(), request.home());
    long unmetMs = unmetMs(key);
    node.log()
        .line("waits")
        .field("id", request.requestId())
        .field("model", request.model())
        .field("adapter", request.adapter())
        .field("ready_in_ms", readyMs)
        .field("unmet_ms", unmetMs)
        .field("goal_in_ms", request.goalMs() - node.now())
        .field("waiting", pendingCount)
        .write();
    rejectIfLate(request, readyMs + unmetMs);
  }

  /**
   * Rejects the least urgent of the waiting requests, unless the new one is less urgent.
   *
   * @return whether there is room for the new one now
   */
  private boolean makeRoomFor(PendingRequest request) {
    Comparator<PendingRequest> mostUrgentFirst = mostUrgentFirst();
    Optional<PendingRequest> last =
        queues.values().stream()
            .flatMap(q -> q.requests.stream())
            .max(mostUrgentFirst)
            .filter(l -> mostUrgentFirst.compare(request, l) < 0);
    last.ifPresent(l -> rejectNow(l, retryAfterMs(FULL_RETRY_AFTER_MS)));
    return last.isPresent();
  }

  private Comparator<PendingRequest> mostUrgentFirst() {
    long now = node.now();
    return Comparator.comparingLong(r -> r.urgency().dueMs(now));
  }

  /** Returns the first time after a delay at which no other rejected caller was told to retry. */
  private long retryAfterMs(long delayMs) {
    long now = node.now();
    return returnTimes.next(now + delayMs, RETRY_SPACING_MS, Long.MAX_VALUE, now);
  }

  /** Returns the expected delay before a load starts: as long as the request has been unmet. */
  private long unmetMs(Key key) {
    if (loader.isLoading(key.service(), key.model(), key.home())) {
      unmetLoads.clear(key.artifact());
      return 0;
    }
    return unmetLoads.recordRequest(key.artifact(), node.now());
  }

  private void rejectIfLate(PendingRequest request, long readyMs) {
    if (node.now() + readyMs > request.deadlineMs()) {
      rejectNow(request, retryAfterMs(readyMs));
    }
  }

  private void rejectNow(PendingRequest request, long retryAfterMs) {
    remove(request);
    request.reject(retryAfterMs);
  }

  /**
   * Removes a request that no longer waits.
   *
   * @param request the request
   */
  public void remove(PendingRequest request) {
    Queue q = queues.get(key(request));
    if (q != null && q.requests.remove(request)) {
      pendingCount--;
    }
  }

  /**
   * Lets requests proceed whose model is now held, rejects requests that no load can serve in time,
   * and repeats the load requests for the others.
   */
  public void tick() {
    for (Map.Entry<Key, Queue> e : List.copyOf(queues.entrySet())) {
      Key key = e.getKey();
      Queue q = e.getValue();
      if (isHeld(key)) {
        unmetLoads.clear(key.artifact());
        release(key);
      } else if (q.requests.isEmpty()) {
        queues.remove(key);
      } else if (node.endpoints().noneAllowed(key.service(), key.home())) {
        List.copyOf(q.requests).forEach(request -> rejectNow(request, FULL_RETRY_AFTER_MS));
      } else {
        requestLoad(key, q);
        if (node.now() - q.lastDeadlineCheckMs >= DEADLINE_CHECK_INTERVAL_MS) {
          q.lastDeadlineCheckMs = node.now();
          long readyMs = loader.readyInMs(key.service(), key.model(), key.adapter(), key.home());
          inOrder(q).forEach(request -> rejectIfLate(request, readyMs));
        }
      }
    }
  }

  /**
   * Lets the requests of one queue proceed, the most urgent first. The queue is emptied first, so
   * that each proceeds only once even if it calls back into this object.
   */
  private void release(Key key) {
    Queue q = queues.remove(key);
    if (q != null) {
      pendingCount -= q.requests.size();
      List<PendingRequest> released = inOrder(q);
      q.requests.clear();
      released.forEach(PendingRequest::proceed);
    }
  }

  private List<PendingRequest> inOrder(Queue q) {
    return q.requests.stream().sorted(mostUrgentFirst()).toList();
  }

  /**
   * Records that a request uses a model at an endpoint.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   */
  public void recordUse(Endpoint endpoint, String model, String adapter) {
    loader.recordUse(endpoint, model, adapter);
  }

  public int pendingCount() {
    return pendingCount;
  }

  private boolean isHeld(Key key) {
    long now = node.now();
    return node.endpoints().holders(key.service(), key.model(), key.adapter(), now).stream()
        .anyMatch(e -> !e.avoided(now) && key.home().allows(e));
  }

  private void requestLoad(Key key, Queue q) {
    long now = node.now();
    if (now - q.lastLoadRequestMs < LOAD_REQUEST_INTERVAL_MS) {
      return;
    }
    q.lastLoadRequestMs = now;
    loader.requestLoad(
        key.service(), key.model(), key.adapter(), key.home(), nextGoalMs(q, now), q.attempts);
  }

  /** Returns the earliest goal in the future, or the latest goal if all are in the past. */
  private static long nextGoalMs(Queue q, long now) {
    LongSummaryStatistics goals =
        q.requests.stream()
            .mapToLong(PendingRequest::goalMs)
            .filter(g -> g >= now)
            .summaryStatistics();
    long latest = q.requests.stream().mapToLong(PendingRequest::goalMs).max().orElse(now);
    return goals.getCount() > 0 ? goals.getMin() : latest;
  }

  private static Key key(PendingRequest request) {
    return new Key(request.service(), request.model(), request.adapter(), request.home());
  }
}
