package io.kumquatspindle.node;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.fleet.ActiveRequests;
import io.kumquatspindle.engine.fleet.EndpointTable;
import io.kumquatspindle.engine.fleet.LoadQueues;
import io.kumquatspindle.engine.fleet.ModelDemand;
import io.kumquatspindle.node.observe.DutyClock;
import io.kumquatspindle.node.observe.EventLog;
import io.netty.channel.EventLoop;
import java.util.Optional;

/** What all parts of the program share; owned by the event loop's thread. */
public final class NodeContext {
  /**
   * Time after the begin of a stop in which requests are taken, in ms; the platform has noticed by
   * then that this VM is not ready.
   */
  static final long TAKE_AFTER_STOP_MS = 2_600;

  /** Time after a start in which the state is read, in ms; 0.3 s when the store is well. */
  private static final long START_MS = 1_000;

  private final NodeSettings settings;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final MetricRegistry metrics;
  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final ActiveRequests running = new ActiveRequests();
  private final LoadQueues queues = new LoadQueues();
  private final DutyClock duties;
  private final long startedMs;
  private Optional<FleetConfiguration> configuration = Optional.empty();
  private long configurationConfirmedMs;
  private long stopMs;
  private boolean endpointsRead;
  private boolean stopping;

  /**
   * Creates the context.
   *
   * @param settings settings of the program
   * @param loop the event loop
   * @param clock steady clock
   * @param log log lines
   * @param metrics counters and histograms
   */
  public NodeContext(
      NodeSettings settings,
      EventLoop loop,
      MonotonicClock clock,
      EventLog log,
      MetricRegistry metrics) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.duties = new DutyClock(metrics, System::nanoTime);
    this.startedMs = clock.nowMs();
  }

  public NodeSettings settings() {
    return settings;
  }

  public EventLoop loop() {
    return loop;
  }

  public long now() {
    return clock.nowMs();
  }

  public MonotonicClock clock() {
    return clock;
  }

  public EventLog log() {
    return log;
  }

  public MetricRegistry metrics() {
    return metrics;
  }

  public DutyClock duties() {
    return duties;
  }

  public EndpointTable endpoints() {
    return endpoints;
  }

  public ModelDemand demand() {
    return demand;
  }

  public ActiveRequests running() {
    return running;
  }

  public LoadQueues queues() {
    return queues;
  }

  public Optional<FleetConfiguration> configuration() {
    return configuration;
  }

  /**
   * Puts a configuration in force.
   *
   * @param newer the configuration
   */
  public void configuration(FleetConfiguration newer) {
    configuration = Optional.of(newer);
  }

  /** Notes that the store has answered, so that the configuration is its newest one. */
  public void configurationConfirmed() {
    configurationConfirmedMs = now();
  }

  public long configurationConfirmedMs() {
    return configurationConfirmedMs;
  }

  /** Notes that the entries of all endpoints have been read. */
  public void endpointsRead() {
    endpointsRead = true;
  }

  /**
   * Tells whether this VM knows enough to serve.
   *
   * @return whether configuration and endpoints have been read
   */
  public boolean known() {
    return endpointsRead && configuration.isPresent();
  }

  /**
   * Tells whether this VM has just started and may still be reading its state.
   *
   * @return whether what callers ask for may be known in a moment
   */
  public boolean starting() {
    return !known() && now() - startedMs < START_MS;
  }

  public boolean stopping() {
    return stopping;
  }

  /** Notes that the program is stopping. */
  public void stop() {
    stopping = true;
    stopMs = now();
  }

  /**
   * Tells whether new requests are refused, since they might not end before the process does.
   *
   * @return whether the program has been stopping for longer than it takes requests
   */
  public boolean takesNoMore() {
    return stopping && now() - stopMs >= TAKE_AFTER_STOP_MS;
  }

  /**
   * Runs a task later on the event loop.
   *
   * @param delayMs delay in ms
   * @param task the task
   */
  public void after(long delayMs, Runnable task) {
    loop.schedule(task, delayMs, java.util.concurrent.TimeUnit.MILLISECONDS);
  }
}
