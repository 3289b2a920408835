package io.kumquatspindle.entry;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.metrics.ProcessMetrics;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.api.time.SystemTimerService;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.engine.routing.LeastLoadedChooser;
import io.kumquatspindle.entry.control.ControlConnector;
import io.kumquatspindle.entry.control.ControlSession;
import io.kumquatspindle.entry.control.ControlState;
import io.kumquatspindle.entry.control.ReplicaUsageTracker;
import io.kumquatspindle.entry.control.TokenAccounts;
import io.kumquatspindle.entry.dispatch.DispatchFilter;
import io.kumquatspindle.entry.dispatch.EndpointPicker;
import io.kumquatspindle.entry.dispatch.RunningAttempts;
import io.kumquatspindle.entry.dispatch.UpstreamClient;
import io.kumquatspindle.entry.http.AdminServer;
import io.kumquatspindle.entry.http.CallerServer;
import io.kumquatspindle.entry.observe.EntryMetrics;
import io.kumquatspindle.entry.observe.Traces;
import io.kumquatspindle.entry.request.ModelWaitQueue;
import io.kumquatspindle.entry.request.RequestEnvironment;
import io.kumquatspindle.entry.request.RequestHandler;
import io.kumquatspindle.transport.link.LinkMetrics;
import io.kumquatspindle.transport.link.LinkRuntime;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The running entry program. */
public final class EntryProgram {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int WORKER_THREADS = 4;
  private static final int LINK_THREADS = 1;
  private static final Duration USAGE_REPORT_PERIOD = Duration.ofSeconds(1);
  private static final Duration ABORT_TIMEOUT = Duration.ofSeconds(1);
  private static final long IDLE_POLL_MS = 20;

  private final EntrySettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final TimerService timers = new SystemTimerService("entry-timers");
  private final ExecutorService workers =
      Executors.newFixedThreadPool(WORKER_THREADS, r -> new Thread(r, "entry-worker"));
  private final ControlState controlState = ControlState.empty();
  private final EntryMetrics metrics = new EntryMetrics();
  private final ReplicaUsageTracker replicaUsage = new ReplicaUsageTracker();
  private final UpstreamClient client = new UpstreamClient();
  private final ControlSession session;
  private final TokenAccounts tokenAccounts;
  private final RunningAttempts runningAttempts;
  private final Traces traces;
  private final RequestHandler handler;
  private final CallerServer callerServer;
  private final AdminServer adminServer;
  private final LinkRuntime links =
      LinkRuntime.start(LINK_THREADS, "entry-link", new LinkMetrics(metrics.registry()));
  private final Optional<ControlConnector> connector;
  private volatile boolean stopping;

  private EntryProgram(EntrySettings settings, Traces traces) {
    this.traces = traces;
    this.settings = settings;
    String incarnation = UUID.randomUUID().toString();
    EntryHello hello = new EntryHello(settings.vm(), incarnation, EntryHello.PROTOCOL);
    session = new ControlSession(hello, controlState, clock);
    tokenAccounts = new TokenAccounts(session, clock);
    runningAttempts =
        new RunningAttempts(
            settings.limits().maxRunningRequests(), controlState.configuration(), clock);
    RequestEnvironment env = new RequestEnvironment(clock, timers, workers, traces, metrics);
    ModelWaitQueue waitQueue =
        new ModelWaitQueue(settings.limits().maxWaitingRequests(), controlState, session, env);
    session.onOutlook(waitQueue::onOutlook);
    EndpointPicker picker =
        new EndpointPicker(controlState, settings.failureDomain(), new LeastLoadedChooser(), clock);
    DispatchFilter dispatch =
        new DispatchFilter(
            controlState, picker, client, runningAttempts, replicaUsage, waitQueue, env);
    handler =
        RequestHandler.create(
            settings.limits(), controlState, session, tokenAccounts, waitQueue, dispatch, env);
    metrics.gauge("requests_waiting", waitQueue::size);
    metrics.gauge("requests_in_flight", handler::inFlight);
    ProcessMetrics.register(metrics.registry());
    scheduleTicks(waitQueue);
    callerServer =
        CallerServer.start(
            settings.callers(),
            settings.callerLimits().connection(),
            settings.callerLimits().all(),
            metrics.closings("callers", clock),
            handler,
            clock);
    adminServer = AdminServer.start(settings.admin(), this::isReady, metrics, clock);
    connector = connect(settings);
  }

  /**
   * Starts the program. It becomes ready once {@link #session} has received a configuration.
   *
   * @param settings settings
   * @return the running program
   */
  public static EntryProgram start(EntrySettings settings) {
    return start(settings, traces(settings.trace()));
  }

  // Lets tests pass tracing whose spans they can inspect.
  static EntryProgram start(EntrySettings settings, Traces traces) {
    EntryProgram program = new EntryProgram(settings, traces);
    logger.atInfo().log("listening for callers on port %s", program.callerPort());
    return program;
  }

  /**
   * Returns the session with control.
   *
   * @return the session
   */
  public ControlSession session() {
    return session;
  }

  /**
   * Returns the port for callers.
   *
   * @return the port
   */
  public int callerPort() {
    return callerServer.port();
  }

  /**
   * Returns the port for health checks and metrics.
   *
   * @return the port
   */
  public int adminPort() {
    return adminServer.port();
  }

  /**
   * Returns whether the load balancer may send requests to this VM.
   *
   * @return whether the program is ready
   */
  public boolean isReady() {
    return !stopping && controlState.configuration().isPresent();
  }

  /**
   * Shuts down gracefully: fails the readiness check, waits until the load balancer has noticed,
   * closes the listener, drains requests in flight, and returns tokens to control.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void stop() throws InterruptedException {
    stopping = true;
    callerServer.startDraining();
    Thread.sleep(settings.stop().balancerDelay().toMillis());
    callerServer.closeListener();
    handler.stopAccepting();
    if (!awaitIdle(settings.stop().drainLimit())) {
      logger.atWarning().log(
          "drain limit reached, aborting %s requests in flight", handler.inFlight());
      runningAttempts.abortAll();
      awaitIdle(ABORT_TIMEOUT);
    }
    tokenAccounts.returnAll();
    session.reportUsage(replicaUsage.report(clock.nowMs()));
    close();
  }

  // Without addresses, the code that started the program connects the session.
  private Optional<ControlConnector> connect(EntrySettings s) {
    if (s.control().isEmpty()) {
      return Optional.empty();
    }
    ControlConnector c = new ControlConnector(links, s.control(), session, clock);
    timers.every(Duration.ofMillis(ControlConnector.TICK_MS), c::tick);
    return Optional.of(c);
  }

  private void close() throws InterruptedException {
    connector.ifPresent(ControlConnector::close);
    links.close();
    callerServer.close();
    adminServer.close();
    client.close();
    timers.close();
    workers.shutdown();
    workers.awaitTermination(ABORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    traces.close();
  }

  private void scheduleTicks(ModelWaitQueue waitQueue) {
    timers.every(Duration.ofMillis(ModelWaitQueue.TICK_MS), waitQueue::tick);
    timers.every(Duration.ofMillis(RunningAttempts.TICK_MS), runningAttempts::tick);
    timers.every(Duration.ofMillis(TokenAccounts.TICK_MS), tokenAccounts::tick);
    timers.every(
        USAGE_REPORT_PERIOD, () -> session.reportUsage(replicaUsage.report(clock.nowMs())));
  }

  private boolean awaitIdle(Duration limit) throws InterruptedException {
    long deadlineMs = clock.nowMs() + limit.toMillis();
    while (handler.inFlight() > 0 && clock.nowMs() < deadlineMs) {
      Thread.sleep(IDLE_POLL_MS);
    }
    return handler.inFlight() == 0;
  }

  private static Traces traces(EntrySettings.Trace trace) {
    return switch (trace.exporter()) {
      case "log" -> Traces.log();
      case "otlp" -> Traces.otlp(trace.endpoint());
      default -> Traces.none();
    };
  }
}
