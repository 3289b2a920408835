package io.kumquatspindle.node.follow;

import io.kumquatspindle.api.fleet.CacheEvents;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.port.EngineClient;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Reads what the engines of this VM's partitions say about evictions from their prompt caches, and
 * tells the index. The other VMs learn of it by digests. Each engine has one reader, since it keeps
 * only a few calls waiting.
 */
public final class CacheEventReader {
  /**
   * Time between the end of a call and the next one at the same engine, in ms. A busy engine
   * answers each call at once, and such calls are as expensive as health checks.
   */
  private static final long CALL_DELAY_MS = 1_000;

  /** Time after a call without a usable response, in ms: the engine may have too many readers. */
  private static final long RETRY_DELAY_MS = 5_000;

  private final NodeContext node;
  private final EngineClient engines;
  private final Predicate<EndpointEntry> held;
  private final Map<String, Position> positions = new HashMap<>();

  /** How far the events of an engine have been read. */
  private static final class Position {
    private final String instance;
    private String epoch = "";
    private OptionalLong next = OptionalLong.empty();
    private boolean calling;
    private long nextCallMs;

    private Position(String instance) {
      this.instance = instance;
    }
  }

  /**
   * Creates a reader.
   *
   * @param node shared context
   * @param engines client of the engines
   * @param held tells whether this VM holds the partition of an endpoint
   */
  public CacheEventReader(NodeContext node, EngineClient engines, Predicate<EndpointEntry> held) {
    this.node = node;
    this.engines = engines;
    this.held = held;
  }

  /** Starts the calls that are due, and forgets the engines that this VM no longer holds. */
  public void tick() {
    positions
        .values()
        .removeIf(
            p ->
                node.endpoints()
                    .findInstance(p.instance)
                    .filter(e -> held.test(e.entry()))
                    .isEmpty());
    for (Endpoint e : node.endpoints().all()) {
      if (isEngine(e) && held.test(e.entry())) {
        Position p = positions.computeIfAbsent(e.instance(), Position::new);
        if (!p.calling && node.now() >= p.nextCallMs) {
          call(e, p);
        }
      }
    }
  }

  private boolean isEngine(Endpoint endpoint) {
    return node.configuration()
        .flatMap(c -> c.service(endpoint.entry().service()))
        .flatMap(s -> s.engine())
        .isPresent();
  }

  private void call(Endpoint endpoint, Position position) {
    position.calling = true;
    engines.cacheEvents(
        endpoint.entry(),
        position.next.orElse(0),
        events -> {
          position.calling = false;
          position.nextCallMs = node.now() + (events.isPresent() ? CALL_DELAY_MS : RETRY_DELAY_MS);
          String result = events.isPresent() ? "events" : "none";
          node.metrics()
              .counter(MetricsText.name("cache_event_calls_total", "result", result))
              .inc();
          // Another VM may hold the engine by now, and read the same events.
          if (positions.get(position.instance) == position) {
            node.endpoints()
                .findInstance(position.instance)
                .ifPresent(e -> events.ifPresent(read -> apply(e, position, read)));
          }
        });
  }

  private void apply(Endpoint endpoint, Position position, CacheEvents read) {
    boolean first = position.next.isEmpty();
    boolean gap = !first && (read.lost() || !read.epoch().equals(position.epoch));
    PromptCacheIndex index = node.promptCacheIndex();
    if (gap) {
      index.recordCacheUnknown(endpoint, node.now());
      node.log().line("cache_events_lost").field("endpoint", endpoint.id()).write();
    }
    // The first events of a reader may be older than what is known, and a gap clears it anyway.
    if (!first && !gap) {
      for (CacheEvents.Event e : read.events()) {
        if (e.cached()) {
          index.recordPartCached(endpoint, e.model(), e.part());
        } else {
          index.recordPartEviction(endpoint, e.model(), e.part(), node.now());
        }
      }
    }
    position.epoch = read.epoch();
    position.next = OptionalLong.of(read.next());
  }
}
