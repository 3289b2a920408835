package io.kumquatspindle.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.api.metrics.ProcessMetrics;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.node.follow.CacheEventReader;
import io.kumquatspindle.node.follow.CrashRecords;
import io.kumquatspindle.node.follow.FleetStateUpdater;
import io.kumquatspindle.node.follow.TopicReaders;
import io.kumquatspindle.node.front.FrontServer;
import io.kumquatspindle.node.front.FrontServerFactory;
import io.kumquatspindle.node.front.PageServer;
import io.kumquatspindle.node.limit.EndpointPermits;
import io.kumquatspindle.node.limit.MemoryRequests;
import io.kumquatspindle.node.observe.ActivityLogger;
import io.kumquatspindle.node.observe.EventLog;
import io.kumquatspindle.node.order.OrderController;
import io.kumquatspindle.node.order.PartitionOwnership;
import io.kumquatspindle.node.order.PendingRequests;
import io.kumquatspindle.node.peer.NodeMessage;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaEnforcer;
import io.kumquatspindle.node.peer.TcpPeerTransport;
import io.kumquatspindle.node.port.EngineClient;
import io.kumquatspindle.node.port.HeaderCodec;
import io.kumquatspindle.node.port.RecordDecoder;
import io.kumquatspindle.node.port.RecordStore;
import io.kumquatspindle.node.time.PeriodicTasks;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.security.SecureRandom;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Creates the components of the node program, runs them on one event loop and shuts them down. */
public final class NodeProgram {
  /** Interval of the checks of orders and of waiting requests while there are any, in ms. */
  private static final long WORK_INTERVAL_MS = 20;

  /** Interval of the checks whether the last requests have ended during a shutdown, in ms. */
  private static final long DRAIN_CHECK_INTERVAL_MS = 20;

  /** Interval of the checks for models with growing demand, in ms. */
  private static final long DEMAND_CHECK_INTERVAL_MS = 300;

  /** Interval of the assignments of loads from the weight store, in ms. */
  private static final long STORE_LOAD_INTERVAL_MS = 200;

  /** Interval of the checks of group membership and failure domains, in ms. */
  private static final long GROUP_CHECK_INTERVAL_MS = 100;

  /** Interval of the checks which cached prompts the endpoints can still hold, in ms. */
  private static final long CACHED_PROMPTS_INTERVAL_MS = 1_000;

  /** Interval of the checks whether a call for the cache events of an engine is due, in ms. */
  private static final long CACHE_EVENTS_INTERVAL_MS = 200;

  /** Time reserved for the exit of the process before it is killed, in ms. */
  private static final long EXIT_RESERVE_MS = 700;

  /** Time for the last answers to leave this VM before the process exits, in ms. */
  private static final long LAST_ANSWERS_MS = 50;

  /** Time before the kill at which requests still waiting for a model are rejected, in ms. */
  private static final long REFUSE_WAITING_RESERVE_MS = 2_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final NodeContext node;
  private final PartitionOwnership ownership;
  private final FrontServer front;
  private final TcpPeerTransport peerTransport;
  private final QuotaEnforcer quotas;
  private final OrderController orders;
  private final CacheEventReader cacheEvents;
  private final EndpointPermits permits;
  private final MemoryRequests memory;
  private final PendingRequests pendingRequests;
  private final Peers peers;
  private final FleetStateUpdater fleetState;
  private final TopicReaders topicReaders;
  private final CrashRecords crashRecords;
  private final PeriodicTasks periodicTasks;
  private Set<String> silentDomains = Set.of();

  /**
   * Implementations that the platform provides.
   *
   * @param store creates the client of the store
   * @param decoder decodes records
   * @param headers codec of the platform's headers
   * @param engines creates the client of the model engines
   */
  public record PlatformAdapter(
      Function<NodeContext, RecordStore> store,
      RecordDecoder decoder,
      HeaderCodec headers,
      Function<NodeContext, EngineClient> engines) {}

  /**
   * Creates the components without starting them.
   *
   * @param settings settings
   * @param adapter implementations that the platform provides
   * @param output destination of the log
   */
  public NodeProgram(NodeSettings settings, PlatformAdapter adapter, OutputStream output) {
    MetricRegistry metrics = new MetricRegistry();
    MonotonicClock clock = MonotonicClock.system();
    EventLog log =
        new EventLog(output, clock, settings.vm(), metrics.counter("log_lines_dropped_total"));
    EventLoop loop = group.next();
    node = new NodeContext(settings, loop, clock, log, metrics);
    peerTransport = new TcpPeerTransport(node, this::onPeerMessage);
    peers = new Peers(node, peerTransport);
    quotas = new QuotaEnforcer(node, peers, new SecureRandom().nextLong());
    node.storeEra().addListener(this::logStoreEra);
    RecordStore store = adapter.store().apply(node);
    ownership = new PartitionOwnership(node, store, peers, quotas, peerTransport.self());
    EngineClient engines = adapter.engines().apply(node);
    orders = new OrderController(node, ownership, peers, peerTransport, engines);
    cacheEvents = new CacheEventReader(node, engines, e -> ownership.holds(e.id(), e.domain()));
    permits = new EndpointPermits(node, ownership, peers, peerTransport);
    memory = new MemoryRequests(node, ownership, peers, peerTransport);
    pendingRequests = new PendingRequests(node, orders);
    // Runs as a separate task: a change caused by a request must not be handled before that request
    // has been added to the waiting ones.
    orders.setChangeListener(() -> node.loop().execute(pendingRequests::tick));
    periodicTasks =
        new PeriodicTasks(
            node::schedule, clock::nowMs, System::currentTimeMillis, WORK_INTERVAL_MS);
    orders.setWorkListener(periodicTasks::wake);
    pendingRequests.setWorkListener(periodicTasks::wake);
    quotas.waits().setWorkListener(periodicTasks::wake);
    quotas.waits().setOtherWaiting(pendingRequests::pendingCount);
    pendingRequests.setOtherWaiting(quotas.waits()::count);
    fleetState = new FleetStateUpdater(node, adapter.decoder(), quotas::onConfiguration);
    topicReaders = new TopicReaders(node, store, fleetState, peers, peerTransport);
    crashRecords = new CrashRecords(node, store);
    front =
        FrontServerFactory.create(
            node, adapter.headers(), pendingRequests, quotas, permits, memory, peers, crashRecords);
  }

  /**
   * Opens the ports and starts the periodic tasks.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    NodeSettings s = node.settings();
    ProcessMetrics.register(node.metrics());
    node.metrics()
        .gauge("prompt_prefixes_known", () -> (Gauge<Integer>) node.promptCacheIndex()::size);
    node.metrics().gauge("store_era", () -> (Gauge<Long>) node.storeEra()::current);
    front.start();
    peerTransport.start();
    PageServer.start(node, s.readyPort(), this::readiness);
    if (s.metricsPort() != 0) {
      PageServer.start(
          node, s.metricsPort(), () -> new PageServer.Page(200, MetricsText.of(node.metrics())));
    }
    node.loop().execute(this::startTasks);
  }

  private void startTasks() {
    node.log().line("start").field("settings", node.settings().toString()).write();
    topicReaders.start();
    if (!node.settings().firstStart()) {
      crashRecords.read();
    }
    every(GROUP_CHECK_INTERVAL_MS, "group", this::checkGroup);
    periodicTasks.whileWorking(pendingRequests::hasWork, timed("waits", pendingRequests::tick));
    periodicTasks.whileWorking(quotas.waits()::hasWork, timed("rate_waits", quotas.waits()::tick));
    periodicTasks.whileWorking(orders::hasWork, timed("orders", orders::tick));
    every(
        Peers.DIGEST_INTERVAL_MS,
        "tell",
        () -> {
          memory.tick();
          quotas.sendDigests(
              ownership.fencingNumber(), ownership.heldPartitions(), permits.heldLimits());
        });
    every(CACHED_PROMPTS_INTERVAL_MS, "cached_prompts", this::checkCachedPrompts);
    if (node.settings().cachedPrompts() && node.settings().cacheEvents()) {
      every(CACHE_EVENTS_INTERVAL_MS, "cache_events", cacheEvents::tick);
    }
    scheduleReplicaChecks();
    every(STORE_LOAD_INTERVAL_MS, "store_loads", orders::assignStoreLoads);
    ActivityLogger activity =
        new ActivityLogger(node.log(), node.metrics(), ProcessMetrics.times());
    every(
        ActivityLogger.INTERVAL_MS,
        "vitals",
        () ->
            activity.write(
                peers.vmCount() - 1,
                peers.reachableCount(),
                pendingRequests.pendingCount() + quotas.waits().count()));
    periodicTasks.start();
  }

  /**
   * Schedules the checks for models that need more replicas. Each VM has its own delay after the
   * common tick, so that the VMs learn of each other's loads before they decide.
   */
  private void scheduleReplicaChecks() {
    long delayMs = ThreadLocalRandom.current().nextLong(PeriodicTasks.TICK_MS);
    Runnable spread = timed("spread", orders::scaleReplicas);
    periodicTasks.every(DEMAND_CHECK_INTERVAL_MS, () -> node.schedule(delayMs, spread));
  }

  private void logStoreEra(long era, long before) {
    node.log().line("store_era").field("era", era).field("era_before", before).write();
    node.metrics().counter("store_era_changes_total").inc();
  }

  private void every(long intervalMs, String taskName, Runnable task) {
    periodicTasks.every(intervalMs, timed(taskName, task));
  }

  private Runnable timed(String taskName, Runnable task) {
    return () -> node.taskTimer().run(taskName, () -> runAndLogErrors(task));
  }

  private void runAndLogErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      node.log().internalError(e);
    }
  }

  private void checkGroup() {
    ownership.tick();
    avoidSilentDomains();
    node.endpoints()
        .endColdPeriods(node.now())
        .forEach(e -> node.log().line("endpoint_warm").field("endpoint", e.id()).write());
    for (String id : node.endpoints().expire(node.now())) {
      node.log().line("endpoint_gone").field("endpoint", id).field("reason", "lapsed").write();
    }
  }

  private void checkCachedPrompts() {
    PromptCacheIndex index = node.promptCacheIndex();
    index.reconcile(node.endpoints(), this::promptMemoryTokens, node.now());
    index.setIsolated(peers.vmCount() > 1 && peers.reachableCount() == 1);
  }

  private long promptMemoryTokens(Endpoint endpoint) {
    return node.configuration()
        .flatMap(c -> c.service(endpoint.entry().service()))
        .flatMap(ServiceInfo::engine)
        .map(EngineInfo::promptCacheTokens)
        .orElse(0L);
  }

  /** Avoids all endpoints of failure domains that are cut off, without trying each of them. */
  private void avoidSilentDomains() {
    Set<String> silent = peers.unreachableDomains();
    if (!silent.equals(silentDomains)) {
      node.log().line("domains_silent").field("domains", silent.toString()).write();
      silentDomains = silent;
    }
    long until = node.now() + 2 * GROUP_CHECK_INTERVAL_MS;
    node.endpoints().all().stream()
        .filter(e -> silent.contains(e.entry().domain()))
        .forEach(e -> e.avoidUntil(until));
  }

  private PageServer.Page readiness() {
    boolean ready = node.stateLoaded() && !node.stopping();
    return new PageServer.Page(ready ? 200 : 503, ready ? "ready" : "not ready");
  }

  private void onPeerMessage(NodeMessage message) {
    String kind = message.label();
    node.metrics().counter(MetricsText.name("peer_received_total", "kind", kind)).inc();
    node.taskTimer().run("heard_" + kind, () -> handle(message));
  }

  private void handle(NodeMessage message) {
    if (message instanceof NodeMessage.Digest d) {
      peers.onDigest(d);
      quotas.onDigest(d);
      ownership.onDigest(d);
      memory.onDigest(d);
      d.limits().forEach(permits::onLimit);
      long version = node.configuration().map(FleetConfiguration::version).orElse(0L);
      if (d.configuration() > version) {
        fleetState.onNewerPeerVersion(
            d.configuration(), d.address(), topicReaders.configuration().pendingReadMs());
        topicReaders.configuration().readImmediately();
      }
      orders.loads().onPeerReports(d.loads());
    } else if (message instanceof NodeMessage.TopicUpdate t) {
      topicReaders.onUpdate(t);
    } else if (message instanceof NodeMessage.Known k) {
      peers.onKnown(k);
    } else if (message instanceof NodeMessage.Want w) {
      long goalMs = node.now() + w.goalInMs();
      if (w.restricted()) {
        node.restrictedLoads().add(w.endpoint(), w.model(), node.now());
      }
      if (w.assigned()) {
        orders.onStoreLoadAssigned(w.endpoint(), w.model(), goalMs);
      } else {
        orders.onLoadRequest(w.endpoint(), w.model(), w.adapter(), goalMs);
      }
    } else if (message instanceof NodeMessage.Changed c) {
      orders.onPeerChange(c);
    } else if (message instanceof NodeMessage.Crash c) {
      node.promptQuarantine().recordCrash(c.endpoint(), c.parts(), node.now());
    } else if (message instanceof NodeMessage.Limit l) {
      permits.onLimit(l);
    } else if (message instanceof NodeMessage.PermitRequest r) {
      permits.onRequest(r);
    } else if (message instanceof NodeMessage.PermitReply r) {
      permits.onReply(r);
    } else if (message instanceof NodeMessage.MemoryRequest r) {
      memory.onRequest(r);
    } else if (message instanceof NodeMessage.MemoryReply r) {
      memory.onReply(r);
    } else if (message instanceof NodeMessage.MemoryReturn r) {
      memory.onReturn(r);
    }
  }

  /**
   * Shuts the program down and blocks until it has stopped. Requests in progress are completed
   * within the grace period; those that remain after it are cut off. Nothing of the program runs on
   * afterwards, so that the process may go on without it. Further calls have no effect.
   */
  public void stop() {
    if (group.isShuttingDown()) {
      return;
    }
    long startMs = node.now();
    node.loop()
        .execute(
            () -> {
              node.log().line("stop").write();
              node.markStopping();
              ownership.leave(() -> {});
              node.schedule(NodeContext.ACCEPT_AFTER_STOP_MS, () -> drain(startMs));
            });
    try {
      stopped.await(node.settings().graceMs(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    node.log().close();
  }

  private void drain(long startMs) {
    front.closeIdleConnections();
    long remainingMs = startMs + node.settings().graceMs() - node.now();
    if (remainingMs <= REFUSE_WAITING_RESERVE_MS) {
      front.rejectWaitingRequests();
    }
    if (front.drained() || remainingMs <= EXIT_RESERVE_MS) {
      front.stopAccepting();
      node.log().line("stopped").field("cut_off", front.connectionCount()).write();
      front.failRemainingRequests();
      node.schedule(LAST_ANSWERS_MS, stopped::countDown);
      return;
    }
    node.schedule(DRAIN_CHECK_INTERVAL_MS, () -> drain(startMs));
  }

  /** Logs that the settings file has changed. The change takes effect at the next start. */
  public void onSettingsChanged() {
    node.loop().execute(() -> node.log().line("settings_changed").write());
  }
}
