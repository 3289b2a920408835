package io.kumquatspindle.control.entry;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.config.ConfigurationController;
import io.kumquatspindle.control.config.ConfigurationState;
import io.kumquatspindle.control.placement.EndpointReportCache;
import io.kumquatspindle.transport.link.Link;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The entry programs that are connected, and what they are sent. */
public final class EntrySessions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ConfigurationController configuration;
  private final Supplier<EntryMessage.PlacementUpdate> placement;
  private final EndpointReportCache reports;
  private final MonotonicClock clock;
  private final Map<Link, Session> sessions = new ConcurrentHashMap<>();

  private static final class Session {
    private final EntryHello hello;
    private volatile long sentOffset = -1;

    private Session(EntryHello hello) {
      this.hello = hello;
    }
  }

  /**
   * Creates the sessions.
   *
   * @param configuration the configuration in force
   * @param placement the replicas at present
   * @param reports the reports of endpoints
   * @param clock the monotonic clock
   */
  public EntrySessions(
      ConfigurationController configuration,
      Supplier<EntryMessage.PlacementUpdate> placement,
      EndpointReportCache reports,
      MonotonicClock clock) {
    this.configuration = configuration;
    this.placement = placement;
    this.reports = reports;
    this.clock = clock;
  }

  /**
   * Takes a new entry program and sends it the whole state.
   *
   * @param link its connection
   * @param hello its first message
   */
  public void open(Link link, EntryHello hello) {
    if (hello.protocol() != EntryHello.PROTOCOL) {
      link.close("protocol " + hello.protocol() + " is not supported");
      return;
    }
    Session session = new Session(hello);
    sessions.put(link, session);
    logger.atInfo().log("entry of %s connected, incarnation %s", hello.vm(), hello.incarnation());
    sendConfiguration(link, session, configuration.state());
    link.send(placement.get());
    link.send(new EntryMessage.EndpointLoads(reports.loads()));
  }

  /**
   * Forgets a connection.
   *
   * @param link the connection
   * @return the entry program that used it
   */
  public Optional<EntryHello> close(Link link) {
    return Optional.ofNullable(sessions.remove(link)).map(s -> s.hello);
  }

  /**
   * Returns the VM of the entry program on a connection.
   *
   * @param link the connection
   * @return its VM, or empty for other connections
   */
  public Optional<VmId> vm(Link link) {
    return Optional.ofNullable(sessions.get(link)).map(s -> s.hello.vm());
  }

  /**
   * Sends a new configuration.
   *
   * @param state the configuration
   */
  public void broadcastConfiguration(ConfigurationState state) {
    sessions.forEach((link, session) -> sendConfiguration(link, session, state));
  }

  /** Sends how recently the configuration was confirmed, and a configuration not yet taken. */
  public void sendFreshness() {
    ConfigurationState s = configuration.state();
    broadcastConfiguration(s);
    broadcast(new EntryMessage.Freshness(s.nextOffset(), s.confirmedAgoMs(clock.nowMs())));
  }

  /** Sends the replicas. */
  public void sendPlacement() {
    broadcast(placement.get());
  }

  /** Sends the load of endpoints. */
  public void sendLoads() {
    broadcast(new EntryMessage.EndpointLoads(reports.loads()));
  }

  /**
   * Sends a message to every entry program.
   *
   * @param message the message
   */
  public void broadcast(Message message) {
    for (Link link : List.copyOf(sessions.keySet())) {
      link.send(message);
    }
  }

  /**
   * Returns the number of connected entry programs.
   *
   * @return how many
   */
  public int size() {
    return sessions.size();
  }

  // A configuration that was never confirmed may lack tickets. An entry program that judged keys by
  // it would call valid keys unknown, so it gets none until the first confirmation.
  private void sendConfiguration(Link link, Session session, ConfigurationState s) {
    if (s.everConfirmed() && session.sentOffset < s.nextOffset() && link.send(update(s))) {
      session.sentOffset = s.nextOffset();
    }
  }

  private EntryMessage.ConfigUpdate update(ConfigurationState s) {
    return new EntryMessage.ConfigUpdate(
        s.nextOffset(), s.confirmedAgoMs(clock.nowMs()), s.configuration());
  }
}
