package io.kumquatspindle.node.order;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.node.NodeContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Requests that wait until an endpoint holds their model or adapter. */
public final class WaitRoom {
  /** Time after which a want that changed nothing is told again, perhaps elsewhere, in ms. */
  private static final long ASK_AGAIN_MS = 1_000;

  /** Requests that wait at one VM, at most; each holds its body, some KB. */
  private static final int MOST_WAITING = 1_000;

  /** When a request comes back that found the room full, in ms. */
  private static final long FULL_RETRY_MS = 1_000;

  /** Time between looks whether those that wait can still be served, in ms. */
  private static final long JUDGE_MS = 100;

  private final NodeContext node;
  private final ModelSource orders;

  /** Spread of the times at which refused requests come back, in ms; about one load from disk. */
  private static final int SPREAD_MS = 400;

  private final Random random = new Random();
  private final Map<Key, Queue> queues = new LinkedHashMap<>();
  private final UnmetWants unmet = new UnmetWants();
  private int waiting;

  private record Key(String service, String model, String adapter) {
    private String artifact() {
      return service + "/" + model;
    }
  }

  private static final class Queue {
    private final List<Waiter> waiters = new ArrayList<>();
    private final Map<String, Integer> asked = new HashMap<>();
    private long askedMs = Long.MIN_VALUE / 2;
    private long judgedMs = Long.MIN_VALUE / 2;
  }

  /**
   * Creates an empty room.
   *
   * @param node shared context
   * @param orders gets what is wanted
   */
  public WaitRoom(NodeContext node, ModelSource orders) {
    this.node = node;
    this.orders = orders;
  }

  /**
   * Takes a request that waits; it is told to proceed or refused unless it leaves.
   *
   * @param waiter the request
   */
  public void enter(Waiter waiter) {
    Optional<EngineInfo> engine =
        node.configuration().flatMap(c -> c.service(waiter.service())).flatMap(s -> s.engine());
    if (engine.isEmpty()
        || !engine.get().models().containsKey(waiter.model())
        || waiting >= MOST_WAITING) {
      waiter.refuse(FULL_RETRY_MS);
      return;
    }
    Key key = key(waiter);
    Queue q = queues.computeIfAbsent(key, k -> new Queue());
    q.waiters.add(waiter);
    waiting++;
    ask(key, q);
    long readyMs = orders.readyInMs(waiter.service(), waiter.model());
    long unmetMs = unmetMs(key);
    node.log()
        .line("waits")
        .field("id", waiter.requestId())
        .field("model", waiter.model())
        .field("adapter", waiter.adapter())
        .field("ready_in_ms", readyMs)
        .field("unmet_ms", unmetMs)
        .field("goal_in_ms", waiter.goalMs() - node.now())
        .field("waiting", waiting)
        .write();
    refuseIfLate(waiter, readyMs + unmetMs);
  }

  /** A want that nobody has met for a time is expected to take as long again. */
  private long unmetMs(Key key) {
    if (orders.loading(key.service(), key.model())) {
      unmet.met(key.artifact());
      return 0;
    }
    return unmet.wanted(key.artifact(), node.now());
  }

  private void refuseIfLate(Waiter waiter, long readyMs) {
    if (node.now() + readyMs > waiter.deadlineMs()) {
      leave(waiter);
      waiter.refuse(readyMs + random.nextInt(SPREAD_MS));
    }
  }

  /**
   * Takes a request out.
   *
   * @param waiter the request
   */
  public void leave(Waiter waiter) {
    Queue q = queues.get(key(waiter));
    if (q != null && q.waiters.remove(waiter)) {
      waiting--;
    }
  }

  /**
   * Lets requests proceed whose model is held now, refuses those that no load can serve any more,
   * and asks again for the others.
   */
  public void tick() {
    for (Map.Entry<Key, Queue> e : List.copyOf(queues.entrySet())) {
      Key key = e.getKey();
      Queue q = e.getValue();
      if (held(key)) {
        unmet.met(key.artifact());
        release(key);
      } else if (q.waiters.isEmpty()) {
        queues.remove(key);
      } else {
        ask(key, q);
        if (node.now() - q.judgedMs >= JUDGE_MS) {
          q.judgedMs = node.now();
          long ready = orders.readyInMs(key.service(), key.model());
          List.copyOf(q.waiters).forEach(w -> refuseIfLate(w, ready));
        }
      }
    }
  }

  /** Lets the requests of one queue proceed, each once, whatever they cause in this room. */
  private void release(Key key) {
    Queue q = queues.remove(key);
    if (q != null) {
      waiting -= q.waiters.size();
      List<Waiter> released = List.copyOf(q.waiters);
      q.waiters.clear();
      released.forEach(Waiter::proceed);
    }
  }

  /**
   * Notes that a model is used at an endpoint.
   *
   * @param endpoint the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   */
  public void used(Endpoint endpoint, String model, String adapter) {
    orders.used(endpoint, model, adapter);
  }

  public int waiting() {
    return waiting;
  }

  private boolean held(Key k) {
    long now = node.now();
    return node.endpoints().holders(k.service(), k.model(), k.adapter(), now).stream()
        .anyMatch(e -> !e.avoided(now));
  }

  private void ask(Key k, Queue q) {
    long now = node.now();
    if (now - q.askedMs < ASK_AGAIN_MS) {
      return;
    }
    q.askedMs = now;
    orders.want(k.service(), k.model(), k.adapter(), goalMs(q, now), q.asked);
  }

  /** Returns the earliest goal that is not past, or the latest one if all are. */
  private static long goalMs(Queue q, long now) {
    LongSummaryStatistics goals =
        q.waiters.stream().mapToLong(Waiter::goalMs).filter(g -> g >= now).summaryStatistics();
    long latest = q.waiters.stream().mapToLong(Waiter::goalMs).max().orElse(now);
    return goals.getCount() > 0 ? goals.getMin() : latest;
  }

  private static Key key(Waiter w) {
    return new Key(w.service(), w.model(), w.adapter());
  }
}
