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

/** Sessions of the connected entry programs, and the state updates that are sent to them. */
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
   * Creates an instance without sessions.
   *
   * @param configuration the active configuration
   * @param placement returns the current replicas
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
   * Opens a session and sends the whole state to its entry program. Closes the connection if the
   * protocol version is not supported.
   *
   * @param link the connection
   * @param hello the entry program's first message
   */
  public void open(Link link, EntryHello hello) {
    if (hello.protocol() != EntryHello.PROTOCOL) {
      link.close("protocol " + hello.protocol() + " is not supported");
      return;
    }
    Session session = new Session(hello);
    sessions.put(link, session);
    logger.atInfo().log(
        "entry program of %s connected, incarnation %s", hello.vm(), hello.incarnation());
    sendConfiguration(link, session, configuration.state());
    link.send(placement.get());
    link.send(new EntryMessage.EndpointLoads(reports.loads()));
  }

  /**
   * Closes the session of a connection.
   *
   * @param link the connection
   * @return the first message of the entry program, or empty if the connection had no session
   */
  public Optional<EntryHello> close(Link link) {
    return Optional.ofNullable(sessions.remove(link)).map(s -> s.hello);
  }

  /**
   * Returns the VM of the entry program on a connection.
   *
   * @param link the connection
   * @return the VM, or empty if the connection has no session
   */
  public Optional<VmId> vm(Link link) {
    return Optional.ofNullable(sessions.get(link)).map(s -> s.hello.vm());
  }

  /**
   * Sends a configuration to every entry program that has not received it yet.
   *
   * @param state the published configuration state
   */
  public void broadcastConfiguration(ConfigurationState state) {
    sessions.forEach((link, session) -> sendConfiguration(link, session, state));
  }

  /**
   * Sends the time since the configuration was last confirmed, and the configuration itself to
   * entry programs that have not received it yet.
   */
  public void sendFreshness() {
    ConfigurationState s = configuration.state();
    broadcastConfiguration(s);
    broadcast(new EntryMessage.Freshness(s.nextOffset(), s.confirmedAgoMs(clock.nowMs())));
  }

  /** Sends the replicas to every entry program. */
  public void sendPlacement() {
    broadcast(placement.get());
  }

  /** Sends the load of the endpoints to every entry program. */
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
   * @return the number of sessions
   */
  public int size() {
    return sessions.size();
  }

  // A configuration that was never confirmed to be up to date may lack tickets, so entry programs
  // would reject valid API keys as unknown. It is not sent before the first confirmation.
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
