package io.kumquatspindle.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.message.PeerMessage;
import io.kumquatspindle.api.message.PeerMessage.Member;
import io.kumquatspindle.api.metrics.ProcessMetrics;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.settings.IpAddress;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.api.time.SystemTimerService;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.control.admin.AdminServer;
import io.kumquatspindle.control.admin.StatePages;
import io.kumquatspindle.control.config.ConfigurationController;
import io.kumquatspindle.control.config.ConfigurationState;
import io.kumquatspindle.control.entry.EntrySessions;
import io.kumquatspindle.control.intent.IntentController;
import io.kumquatspindle.control.log.LogAppender;
import io.kumquatspindle.control.log.OwnerFeed;
import io.kumquatspindle.control.log.StreamFollower;
import io.kumquatspindle.control.log.StreamListener;
import io.kumquatspindle.control.membership.MembershipController;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.peer.PeerNetwork;
import io.kumquatspindle.control.placement.EndpointPoller;
import io.kumquatspindle.control.placement.OrderExecutor;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.control.placement.PlacementFoldAdapter;
import io.kumquatspindle.control.placement.PlatformActions;
import io.kumquatspindle.control.placement.PollAssignment;
import io.kumquatspindle.control.placement.ReportBoard;
import io.kumquatspindle.control.quota.QuotaDuty;
import io.kumquatspindle.control.router.DeferredListener;
import io.kumquatspindle.control.router.FleetGossip;
import io.kumquatspindle.control.router.MessageRouter;
import io.kumquatspindle.control.router.StreamSync;
import io.kumquatspindle.control.router.WantedRouter;
import io.kumquatspindle.control.snapshot.SnapshotService;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.engine.config.SnapshotSchedule;
import io.kumquatspindle.engine.membership.Membership;
import io.kumquatspindle.engine.placement.LoadSettings;
import io.kumquatspindle.engine.request.IntentFold;
import io.kumquatspindle.transport.link.LinkMetrics;
import io.kumquatspindle.transport.link.LinkRuntime;
import io.kumquatspindle.transport.link.LinkServer;
import io.kumquatspindle.transport.worker.EventWorkerMetrics;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The running control program: its parts, joined. */
final class ControlProgram {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int IO_THREADS = 1;
  private static final Duration HEARTBEAT = Duration.ofMillis(500);
  private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);
  private static final long LEAVE_LIMIT_MS = 500;
  private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

  private final ControlSettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final TimerService timers = new SystemTimerService("timer");
  private final Random random = new Random();
  private final String incarnation = UUID.randomUUID().toString();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private final MetricRegistry registry = new MetricRegistry();
  private final LinkRuntime runtime =
      LinkRuntime.start(IO_THREADS, "link", new LinkMetrics(registry));
  private final DeferredListener listener = new DeferredListener();
  private final ReportBoard reports = new ReportBoard(clock);
  private final PlatformClients platform;
  private final PeerNetwork peers;
  private final ConfigurationController configuration;
  private final OrderExecutor orders = new OrderExecutor();
  private final PlacementController placement;
  private final QuotaDuty quota;
  private final IntentController intents;
  private final MembershipController membership;
  private final EntrySessions entries;
  private final SnapshotService snapshots;
  private final EndpointPoller poller;
  private LinkServer server;
  private volatile boolean membersSettled;

  private ControlProgram(ControlSettings s) {
    settings = s;
    platform = PlatformClients.of(s, registry);
    peers = new PeerNetwork(runtime, hello(), listener, clock, timers);
    configuration = new ConfigurationController(clock);
    placement = newPlacement();
    quota =
        new QuotaDuty(
            s.vm(),
            s.failureDomain(),
            incarnation,
            appender(StreamName.SHARES),
            peers,
            random,
            clock);
    intents =
        new IntentController(
            s.vm(),
            new IntentFold(s.idempotencyWindow().toMillis()),
            appender(StreamName.INTENTS),
            clock);
    entries = new EntrySessions(configuration, placement::placement, reports, clock);
    Map<StreamName, StreamOwner> owners = owners();
    StreamSync streams = new StreamSync(owners, peers);
    membership = newMembership(streams);
    SnapshotSchedule schedule = new SnapshotSchedule(s.logRetention(), random.nextDouble());
    snapshots =
        new SnapshotService(
            owners, appender(StreamName.SNAPSHOTS), schedule, InstantSource.system());
    PollAssignment assignment =
        new PollAssignment(s.vm(), s.failureDomain(), this::inForce, membership::view);
    poller = new EndpointPoller(platform.reports(), assignment, this::reported, clock);
    listener.target(
        MessageRouter.builder()
            .entries(entries)
            .wanted(wantedRouter())
            .placement(placement)
            .intents(intents)
            .tokens(quota)
            .membership(membership)
            .streams(streams)
            .build());
  }

  /**
   * Starts the program.
   *
   * @param settings the settings
   * @return the running program
   * @throws IOException if an address cannot be bound
   */
  static ControlProgram start(ControlSettings settings) throws IOException {
    ControlProgram p = new ControlProgram(settings);
    p.run();
    return p;
  }

  private void run() throws IOException {
    configuration.subscribe(this::inForce);
    membersChanged();
    follow(StreamName.SNAPSHOTS, snapshots);
    follow(StreamName.TICKETS, new OwnerFeed(configuration));
    follow(StreamName.DECISIONS, new OwnerFeed(placement));
    follow(StreamName.SHARES, new OwnerFeed(quota));
    follow(StreamName.INTENTS, intents);
    server =
        LinkServer.builder(runtime, listener)
            .address(IpAddress.parse(settings.peerAddress()))
            .heartbeat(HEARTBEAT)
            .silenceLimit(SILENCE_LIMIT)
            .start();
    startTimers();
    startPlatformReaders();
    registerMetrics();
    AdminServer admin =
        new AdminServer(
            IpAddress.parse(settings.adminAddress()),
            new StatePages(configuration, placement, membership, clock),
            () -> configuration.state().everConfirmed(),
            registry);
    closeables.add(admin);
    logger.atInfo().log(
        "control of %s in %s started, peers at %s",
        settings.vm(), settings.failureDomain(), settings.peerAddress());
  }

  private void follow(StreamName stream, StreamListener l) {
    StreamFollower follower = new StreamFollower(platform.log(), stream, l, clock);
    closeables.add(follower);
    follower.start();
  }

  private LogAppender appender(StreamName stream) {
    LogAppender a = new LogAppender(platform.log(), stream);
    closeables.add(a);
    return a;
  }

  private PlacementController newPlacement() {
    PlacementFoldAdapter fold =
        new PlacementFoldAdapter(
            settings.vm(),
            incarnation,
            LoadSettings.DEFAULT.withIdleUnloadMs(settings.replicaIdleLimit().toMillis()),
            settings.policy().placement(),
            random,
            clock);
    PlatformActions actions =
        new PlatformActions(
            appender(StreamName.DECISIONS),
            platform.orders(),
            orders,
            this::inForce,
            () -> timers.after(Duration.ZERO, this::sendPlacement));
    return new PlacementController(fold, actions, clock);
  }

  private MembershipController newMembership(StreamSync streams) {
    FleetGossip gossip =
        new FleetGossip(
            configuration,
            placement,
            quota,
            reports,
            streams,
            this::membersChanged,
            this::vmsListed);
    // Wall-clock time makes the incarnation higher than that of any earlier process on this VM.
    Member self =
        new Member(
            settings.vm(),
            settings.failureDomain(),
            settings.advertisedAddress(),
            System.currentTimeMillis(),
            0,
            PeerMessage.MemberState.ALIVE,
            0);
    return new MembershipController(
        new Membership(self, random), peers, gossip, settings.seedAddresses(), clock);
  }

  private WantedRouter wantedRouter() {
    return new WantedRouter(
        settings.vm(), membership, peers, placement, settings.policy().sharedDecider());
  }

  private PeerMessage.PeerHello hello() {
    return new PeerMessage.PeerHello(
        settings.vm(),
        settings.failureDomain(),
        settings.advertisedAddress(),
        incarnation,
        EntryHello.PROTOCOL);
  }

  private Map<StreamName, StreamOwner> owners() {
    Map<StreamName, StreamOwner> owners = new EnumMap<>(StreamName.class);
    owners.put(StreamName.TICKETS, configuration);
    owners.put(StreamName.DECISIONS, placement);
    owners.put(StreamName.SHARES, quota);
    return owners;
  }

  private void startTimers() {
    timers.every(Duration.ofMillis(500), membership::ownDomainRound);
    timers.every(Duration.ofSeconds(1), membership::otherDomainRound);
    timers.every(Duration.ofMillis(100), placement::tick);
    timers.every(Duration.ofMillis(100), quota::tick);
    timers.every(Duration.ofMillis(100), intents::tick);
    timers.every(Duration.ofSeconds(1), entries::sendFreshness);
    timers.every(Duration.ofMillis(500), entries::sendLoads);
    timers.every(Duration.ofSeconds(5), entries::sendPlacement);
    timers.every(settings.reportPeriod(), poller::pollAll);
    timers.after(SETTLE_TIME, this::settleMembers);
  }

  private void startPlatformReaders() {
    PlatformReader reader =
        new PlatformReader(
            () -> platform.vmList().read().ifPresent(membership::listed),
            () -> platform.store().status().ifPresent(placement::storeRead));
    closeables.add(reader);
    reader.start();
  }

  private void sendPlacement() {
    entries.sendPlacement();
  }

  private void inForce(ConfigurationState state) {
    placement.inForce(state);
    quota.inForce(membersSettled ? state : state.withoutSlots());
    entries.configurationInForce(state);
    membership.inForce(state.configuration().number());
  }

  // A VM that knew no other would claim all slots of its failure domain and soon give most back,
  // with the tokens in them. Until then it gets tokens from peers.
  private void settleMembers() {
    membersSettled = true;
    if (configuration.state().configuration().number() > 0) {
      quota.inForce(configuration.state());
    }
  }

  private void vmsListed(Set<VmId> listed) {
    placement.vmsListed(listed);
    quota.vmsListed(listed);
  }

  // Without transfers, the quota duty is not told of peers that it could ask.
  private void membersChanged() {
    MembershipView view = membership.view();
    quota.members(settings.policy().tokenTransfers() ? view : view.only(settings.vm()));
  }

  private void reported(EndpointReport report, long takenAtMs) {
    if (reports.put(report, takenAtMs, ReportBoard.OWN_TRANSMISSIONS)) {
      placement.reported(report, takenAtMs);
    }
  }

  private Configuration inForce() {
    return configuration.state().configuration();
  }

  private void registerMetrics() {
    MetricRegistry m = registry;
    ProcessMetrics.register(m);
    ProcessMetrics.registerThreads(m);
    EventWorkerMetrics.register(m);
    Runtime jvm = Runtime.getRuntime();
    m.register("jvm_heap_used_bytes", (Gauge<Long>) () -> jvm.totalMemory() - jvm.freeMemory());
    m.register("configuration_number", (Gauge<Long>) this::number);
    m.register("configuration_confirmed_ago_ms", (Gauge<Long>) configuration::confirmedAgoMs);
    m.register("entries_connected", (Gauge<Integer>) entries::size);
    m.register("peer_connections", (Gauge<Integer>) peers::size);
    m.register("orders_in_progress", (Gauge<Integer>) orders::inProgress);
    m.register("decisions_offset", (Gauge<Long>) placement::nextOffset);
    m.register("members", (Gauge<Integer>) () -> membership.view().members().size());
  }

  private long number() {
    return inForce().number();
  }

  /** Gives back what this VM holds, tells peers, and ends all threads within the stop limit. */
  void stop() {
    CountDownLatch left = new CountDownLatch(2);
    membership.leave(left::countDown);
    quota.giveBack(left::countDown);
    try {
      left.await(settings.stopLimit().toMillis(), TimeUnit.MILLISECONDS);
      TimeUnit.MILLISECONDS.sleep(LEAVE_LIMIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.close();
    timers.close();
    for (AutoCloseable c : closeables) {
      closeQuietly(c);
    }
    peers.close();
    runtime.close();
  }

  private static void closeQuietly(AutoCloseable c) {
    try {
      c.close();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("closing %s failed", c.getClass().getSimpleName());
    }
  }
}
