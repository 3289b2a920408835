package io.kumquatspindle.node;

import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.ActiveRequests;
import io.kumquatspindle.engine.fleet.EndpointLimits;
import io.kumquatspindle.engine.fleet.EndpointSpeeds;
import io.kumquatspindle.engine.fleet.EndpointTable;
import io.kumquatspindle.engine.fleet.LoadQueues;
import io.kumquatspindle.engine.fleet.MemoryGrants;
import io.kumquatspindle.engine.fleet.ModelDemand;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.engine.fleet.RestrictedLoads;
import io.kumquatspindle.engine.fleet.StoreEra;
import io.kumquatspindle.engine.fleet.WorkTimes;
import io.kumquatspindle.node.observe.EventLog;
import io.kumquatspindle.node.observe.TaskTimer;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Random;

/** State and services shared by all parts of the program. Confined to the event loop thread. */
public final class NodeContext {
  /**
   * Time after the start of the shutdown in which new requests are still accepted, in ms. By its
   * end the platform has noticed that this VM is not ready.
   */
  static final long ACCEPT_AFTER_STOP_MS = 2_600;

  /** Time allowed for loading the state after a start, in ms; a healthy store takes 0.3 s. */
  private static final long STARTUP_MS = 1_000;

  private final NodeSettings settings;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EventLog log;
  private final MetricRegistry metrics;
  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final ActiveRequests activeRequests = new ActiveRequests();
  private final LoadQueues loadQueues = new LoadQueues();
  private final ActiveLoads activeLoads;
  private final PromptQuarantine promptQuarantine = new PromptQuarantine();
  private final EndpointSpeeds endpointSpeeds = new EndpointSpeeds();
  private final WorkTimes workTimes = new WorkTimes();
  private final PromptCacheIndex promptCacheIndex;
  private final MemoryGrants memoryGrants;
  private final RestrictedLoads restrictedLoads = new RestrictedLoads();
  private final EndpointLimits endpointLimits = new EndpointLimits(new Random()::nextDouble);
  private final StoreEra storeEra = new StoreEra();
  private final TaskTimer taskTimer;
  private final long startedMs;
  private Optional<FleetConfiguration> configuration = Optional.empty();
  private long configurationConfirmedMs;
  private long stoppingSinceMs;
  private boolean endpointsRead;
  private boolean stopping;

  /**
   * Creates the context.
   *
   * @param settings settings of the program
   * @param loop the event loop
   * @param clock monotonic clock
   * @param log event log
   * @param metrics registry of metrics
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
    this.taskTimer = new TaskTimer(metrics, System::nanoTime);
    this.activeLoads = new ActiveLoads(settings.storeLoadsAtOnce());
    this.promptCacheIndex =
        new PromptCacheIndex(settings.cachedPrompts(), e -> workTimes.tokenMs(e.entry().service()));
    this.memoryGrants = new MemoryGrants(settings.ip() + ":" + settings.peerPort());
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

  public TaskTimer taskTimer() {
    return taskTimer;
  }

  public StoreEra storeEra() {
    return storeEra;
  }

  public EndpointTable endpoints() {
    return endpoints;
  }

  public ModelDemand demand() {
    return demand;
  }

  public ActiveRequests activeRequests() {
    return activeRequests;
  }

  public LoadQueues loadQueues() {
    return loadQueues;
  }

  public ActiveLoads activeLoads() {
    return activeLoads;
  }

  public PromptQuarantine promptQuarantine() {
    return promptQuarantine;
  }

  public RestrictedLoads restrictedLoads() {
    return restrictedLoads;
  }

  public EndpointLimits endpointLimits() {
    return endpointLimits;
  }

  public MemoryGrants memoryGrants() {
    return memoryGrants;
  }

  public EndpointSpeeds endpointSpeeds() {
    return endpointSpeeds;
  }

  public WorkTimes workTimes() {
    return workTimes;
  }

  public PromptCacheIndex promptCacheIndex() {
    return promptCacheIndex;
  }

  public Optional<FleetConfiguration> configuration() {
    return configuration;
  }

  /**
   * Puts a newer configuration in force.
   *
   * @param newer the configuration
   */
  public void setConfiguration(FleetConfiguration newer) {
    configuration = Optional.of(newer);
  }

  /** Records that the configuration was the store's latest at this time. */
  public void confirmConfiguration() {
    configurationConfirmedMs = now();
  }

  public long configurationConfirmedMs() {
    return configurationConfirmedMs;
  }

  /** Records that the entries of all endpoints have been read. */
  public void markEndpointsRead() {
    endpointsRead = true;
  }

  /**
   * Returns whether configuration and endpoints have been read, so that requests can be served.
   *
   * @return whether both have been read
   */
  public boolean stateLoaded() {
    return endpointsRead && configuration.isPresent();
  }

  /**
   * Returns whether the program has just started and is still loading its state.
   *
   * @return whether requests should wait for the state instead of being rejected
   */
  public boolean starting() {
    return !stateLoaded() && now() - startedMs < STARTUP_MS;
  }

  public boolean stopping() {
    return stopping;
  }

  /** Records that the program is stopping, and since when. */
  public void markStopping() {
    stopping = true;
    stoppingSinceMs = now();
  }

  /**
   * Returns whether new requests are rejected because they might not end before the process exits.
   *
   * @return whether the time in which new requests are accepted during shutdown is over
   */
  public boolean rejectsNewRequests() {
    return stopping && now() - stoppingSinceMs >= ACCEPT_AFTER_STOP_MS;
  }

  /**
   * Schedules a task on the event loop.
   *
   * @param delayMs delay in ms
   * @param task the task
   */
  public void schedule(long delayMs, Runnable task) {
    loop.schedule(task, delayMs, java.util.concurrent.TimeUnit.MILLISECONDS);
  }
}
