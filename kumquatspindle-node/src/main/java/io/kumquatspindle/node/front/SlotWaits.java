package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.ResponseHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.SlotQueue;
import io.kumquatspindle.node.NodeContext;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Holds the requests of all services that wait for free slots at this VM. */
final class SlotWaits {
  /**
   * Time until a full endpoint is tried again without a report, in ms; the time for which {@link
   * Exchange} avoids it.
   */
  static final long INTERVAL_MS = Exchange.OVERLOAD_AVOID_MS;

  private final NodeContext node;
  private final Map<String, Service> services = new HashMap<>();

  /** A request that waits for a slot. */
  interface SlotWaiting extends SlotQueue.Waiting {
    /**
     * Continues the request.
     *
     * @param endpoint ID of the endpoint that has a free slot; empty if none is known
     */
    void proceed(Optional<String> endpoint);

    /** Rejects the request; it cannot be served in time any more. */
    void reject();
  }

  private static final class Service {
    private final SlotQueue queue = new SlotQueue(INTERVAL_MS);
    private ScheduledFuture<?> timer;
  }

  SlotWaits(NodeContext node) {
    this.node = node;
  }

  /**
   * Lets a request wait, unless it would wait in vain.
   *
   * @param service name of the service
   * @param reports whether reports of free slots are to be expected
   * @return whether it waits; then it proceeds, is rejected or is removed by {@link #remove}
   */
  boolean offer(String service, SlotWaiting request, boolean reports) {
    Service s = services.computeIfAbsent(service, n -> new Service());
    if (!s.queue.offer(request, reports, node.now())) {
      return false;
    }
    schedule(s);
    return true;
  }

  /** Removes a request that no longer waits. */
  void remove(String service, SlotWaiting request) {
    Service s = services.get(service);
    if (s != null) {
      s.queue.remove(request);
      schedule(s);
    }
  }

  /** Returns the number of requests that wait for slots of a service. */
  int count(String service) {
    return services.containsKey(service) ? services.get(service).queue.size() : 0;
  }

  /** Returns the number of free slots by a report. */
  static int freeSlots(ResponseHead.Load load) {
    return load.slots() - load.running() - Math.max(0, load.waiting());
  }

  /** Releases requests for the slots that an endpoint has just reported free. */
  void onLoad(Endpoint endpoint, ResponseHead.Load load) {
    int free = freeSlots(load);
    if (free > 0) {
      int slots = Math.min(free, Math.max(1, endpoint.entry().slots()));
      release(endpoint, queue -> queue.releaseReported(endpoint.id(), slots, node.now()));
    }
  }

  /** Releases a request for the slot that a request of this VM has left. */
  void onEnded(Endpoint endpoint) {
    release(endpoint, queue -> queue.releaseEnded(endpoint.id(), node.now()));
  }

  private void release(Endpoint endpoint, Function<SlotQueue, List<SlotQueue.Waiting>> release) {
    Service s = services.get(endpoint.entry().service());
    if (s == null || s.queue.size() == 0) {
      return;
    }
    // The response that brought the report is handled first.
    node.loop()
        .execute(
            () -> {
              if (!endpoint.refuses(node.now())) {
                release.apply(s.queue).forEach(w -> proceed(w, Optional.of(endpoint.id())));
                schedule(s);
              }
            });
  }

  private void onTimer(Service s) {
    long now = node.now();
    for (SlotQueue.Waiting late : s.queue.removeLate(now)) {
      run("slot_waits_rejected_total", ((SlotWaiting) late)::reject);
    }
    s.queue.releaseUnreported(now).ifPresent(w -> proceed(w, Optional.empty()));
    schedule(s);
  }

  private void proceed(SlotQueue.Waiting request, Optional<String> endpoint) {
    String metric = endpoint.isPresent() ? "slot_waits_released_total" : "slot_waits_tried_total";
    run(metric, () -> ((SlotWaiting) request).proceed(endpoint));
  }

  private void run(String metric, Runnable end) {
    node.metrics().counter(metric).inc();
    try {
      end.run();
    } catch (RuntimeException e) {
      // The other requests of the queue must proceed all the same.
      node.log().internalError(e);
    }
  }

  private void schedule(Service s) {
    if (s.timer != null) {
      s.timer.cancel(false);
      s.timer = null;
    }
    OptionalLong nextMs = s.queue.nextMs();
    if (nextMs.isPresent()) {
      long delayMs = Math.max(0, nextMs.getAsLong() - node.now());
      s.timer = node.loop().schedule(() -> onTimer(s), delayMs, TimeUnit.MILLISECONDS);
    }
  }
}
