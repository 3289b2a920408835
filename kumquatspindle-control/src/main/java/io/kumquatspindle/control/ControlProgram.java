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
import io.kumquatspindle.control.log.OwnerStreamListener;
import io.kumquatspindle.control.log.StreamFollower;
import io.kumquatspindle.control.log.StreamListener;
import io.kumquatspindle.control.membership.MembershipController;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.peer.PeerConnectionPool;
import io.kumquatspindle.control.placement.EndpointPoller;
import io.kumquatspindle.control.placement.EndpointReportCache;
import io.kumquatspindle.control.placement.OrderExecutor;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.control.placement.PlacementStreamStateMachine;
import io.kumquatspindle.control.placement.PlatformActions;
import io.kumquatspindle.control.placement.PollAssignment;
import io.kumquatspindle.control.quota.QuotaService;
import io.kumquatspindle.control.router.ControlGossipDelegate;
import io.kumquatspindle.control.router.DeferredListener;
import io.kumquatspindle.control.router.MessageRouter;
import io.kumquatspindle.control.router.ModelWantedRouter;
import io.kumquatspindle.control.router.StreamSync;
import io.kumquatspindle.control.snapshot.SnapshotService;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.engine.config.SnapshotSchedule;
import io.kumquatspindle.engine.membership.Membership;
import io.kumquatspindle.engine.placement.LoadSettings;
import io.kumquatspindle.engine.request.IntentStateMachine;
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

/** The control program: creates its components, connects them, and starts and stops them. */
final class ControlProgram {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int IO_THREADS = 1;
  private static final Duration HEARTBEAT = Duration.ofMillis(500);
  private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);
  private static final long LEAVE_DELAY_MS = 500;
  private static final Duration MEMBERSHIP_SETTLE_TIME = Duration.ofSeconds(2);

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
  private final EndpointReportCache reportCache = new EndpointReportCache(clock);
  private final PlatformClients platform;
  private final PeerConnectionPool peers;
  private final ConfigurationController configuration;
  private final OrderExecutor orderExecutor = new OrderExecutor();
  private final PlacementController placement;
  private final QuotaService quota;
  private final IntentController intents;
  private final MembershipController membership;
  private final EntrySessions entries;
  private final SnapshotService snapshots;
  private final EndpointPoller poller;
  private LinkServer server;
  private volatile boolean membershipSettled;

  private ControlProgram(ControlSettings s) {
    settings = s;
    platform = PlatformClients.of(s, registry);
    peers = new PeerConnectionPool(runtime, createPeerHello(), listener, clock, timers);
    configuration = new ConfigurationController(clock);
    placement = createPlacementController();
    quota =
        new QuotaService(
            s.vm(),
            s.failureDomain(),
            incarnation,
            createAppender(StreamName.SHARES),
            peers,
            random,
            clock);
    intents =
        new IntentController(
            s.vm(),
            new IntentStateMachine(s.idempotencyWindow().toMillis()),
            createAppender(StreamName.INTENTS),
            clock);
    entries = new EntrySessions(configuration, placement::placement, reportCache, clock);
    Map<StreamName, StreamOwner> owners = streamOwners();
    StreamSync streams = new StreamSync(owners, peers);
    membership = createMembershipController(streams);
    SnapshotSchedule schedule = new SnapshotSchedule(s.logRetention(), random.nextDouble());
    snapshots =
        new SnapshotService(
            owners, createAppender(StreamName.SNAPSHOTS), schedule, InstantSource.system());
    PollAssignment assignment =
        new PollAssignment(s.vm(), s.failureDomain(), this::activeConfiguration, membership::view);
    poller = new EndpointPoller(platform.reports(), assignment, this::endpointReported, clock);
    listener.setTarget(
        MessageRouter.builder()
            .entries(entries)
            .wanted(createModelWantedRouter())
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
    ControlProgram program = new ControlProgram(settings);
    program.run();
    return program;
  }

  private void run() throws IOException {
    configuration.subscribe(this::configurationChanged);
    membersChanged();
    follow(StreamName.SNAPSHOTS, snapshots);
    follow(StreamName.TICKETS, new OwnerStreamListener(configuration));
    follow(StreamName.DECISIONS, new OwnerStreamListener(placement));
    follow(StreamName.SHARES, new OwnerStreamListener(quota));
    follow(StreamName.INTENTS, intents);
    server =
        LinkServer.builder(runtime, listener)
            .address(IpAddress.parse(settings.peerAddress()))
            .heartbeat(HEARTBEAT)
            .silenceLimit(SILENCE_LIMIT)
            .start();
    startTimers();
    startPlatformReader();
    registerMetrics();
    AdminServer admin =
        new AdminServer(
            IpAddress.parse(settings.adminAddress()),
            new StatePages(configuration, placement, membership, clock),
            () -> configuration.state().everConfirmed(),
            registry);
    closeables.add(admin);
    logger.atInfo().log(
        "control program of %s in %s started, listening for peers at %s",
        settings.vm(), settings.failureDomain(), settings.peerAddress());
  }

  private void follow(StreamName stream, StreamListener l) {
    StreamFollower follower = new StreamFollower(platform.log(), stream, l, clock);
    closeables.add(follower);
    follower.start();
  }

  private LogAppender createAppender(StreamName stream) {
    LogAppender a = new LogAppender(platform.log(), stream);
    closeables.add(a);
    return a;
  }

  private PlacementController createPlacementController() {
    PlacementStreamStateMachine stateMachine =
        new PlacementStreamStateMachine(
            settings.vm(),
            incarnation,
            LoadSettings.DEFAULT.withIdleUnloadMs(settings.replicaIdleLimit().toMillis()),
            settings.policy().placement(),
            random,
            clock);
    PlatformActions actions =
        new PlatformActions(
            createAppender(StreamName.DECISIONS),
            platform.orders(),
            orderExecutor,
            this::activeConfiguration,
            () -> timers.after(Duration.ZERO, this::sendPlacement));
    return new PlacementController(stateMachine, actions, clock);
  }

  private MembershipController createMembershipController(StreamSync streams) {
    ControlGossipDelegate gossip =
        new ControlGossipDelegate(
            configuration,
            placement,
            quota,
            reportCache,
            streams,
            this::membersChanged,
            this::vmListUpdated);
    // Uses wall-clock time, so that the incarnation is higher than that of any earlier process on
    // this VM.
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

  private ModelWantedRouter createModelWantedRouter() {
    return new ModelWantedRouter(
        settings.vm(), membership, peers, placement, settings.policy().sharedDecider());
  }

  private PeerMessage.PeerHello createPeerHello() {
    return new PeerMessage.PeerHello(
        settings.vm(),
        settings.failureDomain(),
        settings.advertisedAddress(),
        incarnation,
        EntryHello.PROTOCOL);
  }

  private Map<StreamName, StreamOwner> streamOwners() {
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
    timers.after(MEMBERSHIP_SETTLE_TIME, this::membershipSettled);
  }

  private void startPlatformReader() {
    PlatformReader reader =
        new PlatformReader(
            () -> platform.vmList().read().ifPresent(membership::vmListUpdated),
            () -> platform.store().status().ifPresent(placement::storeStatusRead));
    closeables.add(reader);
    reader.start();
  }

  private void sendPlacement() {
    entries.sendPlacement();
  }

  private void configurationChanged(ConfigurationState state) {
    placement.configurationChanged(state);
    quota.configurationChanged(membershipSettled ? state : state.withoutQuotaSlots());
    entries.broadcastConfiguration(state);
    membership.configurationNumberChanged(state.configuration().number());
  }

  // A VM that does not know any other VM yet would claim all slots of its failure domain and soon
  // release most of them together with their tokens. Until the membership has settled, it obtains
  // tokens from peers.
  private void membershipSettled() {
    membershipSettled = true;
    if (configuration.state().configuration().number() > 0) {
      quota.configurationChanged(configuration.state());
    }
  }

  private void vmListUpdated(Set<VmId> listed) {
    placement.vmListUpdated(listed);
    quota.vmListUpdated(listed);
  }

  // If token transfers are disabled, the quota service sees no peer that it could request tokens
  // from.
  private void membersChanged() {
    MembershipView view = membership.view();
    quota.membersChanged(settings.policy().tokenTransfers() ? view : view.only(settings.vm()));
  }

  private void endpointReported(EndpointReport report, long takenAtMs) {
    if (reportCache.put(report, takenAtMs, EndpointReportCache.POLLED_REPORT_TRANSMISSIONS)) {
      placement.endpointReported(report, takenAtMs);
    }
  }

  private Configuration activeConfiguration() {
    return configuration.state().configuration();
  }

  private void registerMetrics() {
    MetricRegistry m = registry;
    ProcessMetrics.register(m);
    ProcessMetrics.registerThreads(m);
    EventWorkerMetrics.register(m);
    Runtime jvm = Runtime.getRuntime();
    m.register("jvm_heap_used_bytes", (Gauge<Long>) () -> jvm.totalMemory() - jvm.freeMemory());
    m.register("configuration_number", (Gauge<Long>) this::configurationNumber);
    m.register("configuration_confirmed_ago_ms", (Gauge<Long>) configuration::confirmedAgoMs);
    m.register("entries_connected", (Gauge<Integer>) entries::size);
    m.register("peer_connections", (Gauge<Integer>) peers::size);
    m.register("orders_in_progress", (Gauge<Integer>) orderExecutor::inProgress);
    m.register("decisions_offset", (Gauge<Long>) placement::nextOffset);
    m.register("members", (Gauge<Integer>) () -> membership.view().members().size());
  }

  private long configurationNumber() {
    return activeConfiguration().number();
  }

  /**
   * Releases the quota slots of this VM, notifies peers, and stops all threads. Waits for the
   * release no longer than the stop limit.
   */
  void stop() {
    CountDownLatch released = new CountDownLatch(2);
    membership.leave(released::countDown);
    quota.releaseSlots(released::countDown);
    try {
      released.await(settings.stopLimit().toMillis(), TimeUnit.MILLISECONDS);
      TimeUnit.MILLISECONDS.sleep(LEAVE_DELAY_MS);
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
      logger.atWarning().withCause(e).log("failed to close %s", c.getClass().getSimpleName());
    }
  }
}
