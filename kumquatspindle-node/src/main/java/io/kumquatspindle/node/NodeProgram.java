package io.kumquatspindle.node;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.api.metrics.ProcessMetrics;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.node.follow.FleetStateUpdater;
import io.kumquatspindle.node.follow.TopicReader;
import io.kumquatspindle.node.front.Front;
import io.kumquatspindle.node.front.FrontServer;
import io.kumquatspindle.node.front.PageServer;
import io.kumquatspindle.node.observe.EventLog;
import io.kumquatspindle.node.observe.Vitals;
import io.kumquatspindle.node.order.OrderController;
import io.kumquatspindle.node.order.PartitionOwnership;
import io.kumquatspindle.node.order.PendingRequests;
import io.kumquatspindle.node.peer.PeerMessage;
import io.kumquatspindle.node.peer.Peers;
import io.kumquatspindle.node.peer.QuotaController;
import io.kumquatspindle.node.peer.TcpPeerTransport;
import io.kumquatspindle.node.port.EngineCalls;
import io.kumquatspindle.node.port.HeaderCodec;
import io.kumquatspindle.node.port.RecordDecoder;
import io.kumquatspindle.node.port.RecordStore;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.security.SecureRandom;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The node program: builds its parts, runs them on one event loop, and stops them in order. */
public final class NodeProgram {
  /**
   * Pause between reads of the configuration, in ms; versions in quick succession come together.
   */
  private static final long CONFIGURATION_PAUSE_MS = 150;

  /** Pause between reads of the endpoints, in ms; well inside the time to leave one alone. */
  private static final long ENDPOINTS_PAUSE_MS = 900;

  /** Time between looks at orders and waiting requests, in ms. */
  private static final long TICK_MS = 20;

  /** Time between looks at models whose demand grows, in ms. */
  private static final long SPREAD_MS = 300;

  /** Time between looks at the group, in ms. */
  private static final long GROUP_TICK_MS = 100;

  /** Time kept for the end of the process before it is killed, in ms. */
  private static final long STOP_RESERVE_MS = 700;

  /** Time before the end at which requests that still wait are refused, in ms. */
  private static final long REFUSE_RESERVE_MS = 2_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final NodeContext node;
  private final PartitionOwnership owners;
  private final FrontServer front;
  private final TcpPeerTransport network;
  private final QuotaController quotas;
  private final OrderController orders;
  private final PendingRequests waits;
  private final Peers peers;
  private final FleetStateUpdater state;
  private final TopicReader configurations;
  private final TopicReader endpoints;
  private Set<String> silentDomains = Set.of();

  /**
   * What the platform's adapter provides.
   *
   * @param store makes the client of the store
   * @param decoder reads records
   * @param headers translates heads
   * @param engines makes the client of engines
   */
  public record Adapter(
      Function<NodeContext, RecordStore> store,
      RecordDecoder decoder,
      HeaderCodec headers,
      Function<NodeContext, EngineCalls> engines) {}

  /**
   * Builds the program; it does nothing yet.
   *
   * @param settings settings
   * @param adapter what the platform's adapter provides
   * @param output where log lines go
   */
  public NodeProgram(NodeSettings settings, Adapter adapter, OutputStream output) {
    MetricRegistry metrics = new MetricRegistry();
    MonotonicClock clock = MonotonicClock.system();
    EventLog log =
        new EventLog(output, clock, settings.vm(), metrics.counter("log_lines_dropped_total"));
    EventLoop loop = group.next();
    node = new NodeContext(settings, loop, clock, log, metrics);
    network = new TcpPeerTransport(node, this::onMessage);
    peers = new Peers(node, network);
    quotas = new QuotaController(node, peers, new SecureRandom().nextLong());
    RecordStore store = adapter.store().apply(node);
    owners = new PartitionOwnership(node, store, peers, quotas, network.self());
    orders = new OrderController(node, owners, peers, network, adapter.engines().apply(node));
    waits = new PendingRequests(node, orders);
    // Later, so that a change that a request causes does not reach that request before it waits.
    orders.setChangeListener(() -> node.loop().execute(waits::tick));
    state = new FleetStateUpdater(node, adapter.decoder(), quotas::onConfiguration);
    configurations =
        new TopicReader(
            node,
            store,
            RecordStore.Topic.CONFIGURATION,
            settings.configurationWaitMs(),
            CONFIGURATION_PAUSE_MS,
            state.configurationRecordListener());
    endpoints =
        new TopicReader(
            node,
            store,
            RecordStore.Topic.ENDPOINTS,
            0,
            ENDPOINTS_PAUSE_MS,
            state.endpointRecordListener());
    front = Front.create(node, adapter.headers(), waits, quotas, peers);
  }

  /**
   * Starts the program.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    NodeSettings s = node.settings();
    ProcessMetrics.register(node.metrics());
    front.start();
    network.start();
    PageServer.start(node, s.readyPort(), this::readiness);
    if (s.metricsPort() != 0) {
      PageServer.start(
          node, s.metricsPort(), () -> new PageServer.Page(200, MetricsText.of(node.metrics())));
    }
    node.loop().execute(this::run);
  }

  private void run() {
    node.log().line("start").field("settings", node.settings().toString()).write();
    configurations.read();
    endpoints.read();
    every(GROUP_TICK_MS, "group", this::groupTick);
    every(TICK_MS, "waits", waits::tick);
    every(TICK_MS, "orders", orders::tick);
    every(
        Peers.DIGEST_INTERVAL_MS,
        "tell",
        () -> quotas.sendDigests(owners.fencingNumber(), owners.heldPartitions()));
    every(SPREAD_MS, "spread", orders::scaleReplicas);
    every(SPREAD_MS, "prefetch", orders::prefetch);
    Vitals vitals = new Vitals(node.log(), node.metrics());
    every(
        Vitals.EVERY_MS,
        "vitals",
        () -> vitals.write(peers.vmCount() - 1, peers.reachableCount(), waits.waiting()));
  }

  private void every(long ms, String duty, Runnable task) {
    Runnable counted = () -> node.duties().run(duty, () -> guarded(task));
    node.loop().scheduleWithFixedDelay(counted, ms, ms, TimeUnit.MILLISECONDS);
  }

  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      node.log().line("internal_error").field("reason", describe(e)).write();
    }
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return e + (trace.length > 0 ? " at " + trace[0] : "");
  }

  private void groupTick() {
    owners.tick();
    avoidSilentDomains();
    for (String id : node.endpoints().expire(node.now())) {
      node.log().line("endpoint_gone").field("endpoint", id).field("reason", "lapsed").write();
    }
  }

  /** Sends requests elsewhere while a failure domain is cut off, without trying each endpoint. */
  private void avoidSilentDomains() {
    Set<String> silent = peers.unreachableDomains();
    if (!silent.equals(silentDomains)) {
      node.log().line("domains_silent").field("domains", silent.toString()).write();
      silentDomains = silent;
    }
    long until = node.now() + 2 * GROUP_TICK_MS;
    node.endpoints().all().stream()
        .filter(e -> silent.contains(e.entry().domain()))
        .forEach(e -> e.avoidUntil(until));
  }

  private PageServer.Page readiness() {
    boolean ready = node.known() && !node.stopping();
    return new PageServer.Page(ready ? 200 : 503, ready ? "ready" : "not ready");
  }

  private void onMessage(PeerMessage message) {
    String kind = message.label();
    node.metrics().counter(MetricsText.name("peer_received_total", "kind", kind)).inc();
    node.duties().run("heard_" + kind, () -> take(message));
  }

  private void take(PeerMessage message) {
    if (message instanceof PeerMessage.Digest d) {
      peers.onDigest(d);
      quotas.onDigest(d);
      owners.onDigest(d);
      long version = node.configuration().map(FleetConfiguration::version).orElse(0L);
      if (d.configuration() > version) {
        state.onNewerPeerVersion(d.configuration(), d.address(), configurations.pendingReadMs());
        configurations.readImmediately();
      }
    } else if (message instanceof PeerMessage.Known k) {
      peers.onKnown(k);
    } else if (message instanceof PeerMessage.Want w) {
      orders.onLoadRequest(w.endpoint(), w.model(), w.adapter(), node.now() + w.goalInMs());
    } else if (message instanceof PeerMessage.Changed c) {
      orders.onPeerChange(c);
    }
  }

  /** Stops the program: no caller that has sent a request is cut off if there is time. */
  public void stop() {
    long begunMs = node.now();
    node.loop()
        .execute(
            () -> {
              node.log().line("stop").write();
              node.stop();
              owners.leave(() -> {});
              node.after(NodeContext.TAKE_AFTER_STOP_MS, front::stopAccepting);
              node.after(NodeContext.TAKE_AFTER_STOP_MS, () -> drain(begunMs));
            });
    try {
      stopped.await(node.settings().graceMs(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    node.log().close();
  }

  private void drain(long begunMs) {
    front.closeIdle();
    long left = begunMs + node.settings().graceMs() - node.now();
    if (left <= REFUSE_RESERVE_MS) {
      front.refuseWaiting();
    }
    if (front.open() == 0 || left <= STOP_RESERVE_MS) {
      node.log().line("stopped").field("cut_off", front.open()).write();
      stopped.countDown();
      return;
    }
    node.after(TICK_MS, () -> drain(begunMs));
  }

  /** Notes that the settings file has changed; what is in it takes effect at the next start. */
  public void settingsChanged() {
    node.loop().execute(() -> node.log().line("settings_changed").write());
  }
}
