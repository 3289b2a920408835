package io.kumquatspindle.node.relay;

import io.kumquatspindle.api.time.MonotonicClock;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Opens connections to endpoints and keeps those that have become idle for a time. With many VMs,
 * each sends a request to a given endpoint only every few seconds, so connections are kept as long
 * as the endpoint states that it keeps them. Used on the event loop only.
 */
public final class EndpointConnections {
  /** Connect timeout, in ms: about ten times a round trip between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 250;

  /** Idle connections that are kept to one endpoint; an endpoint serves several hundred VMs. */
  private static final int MAX_IDLE_PER_ENDPOINT = 2;

  /**
   * Time before an endpoint's idle timeout at which a connection is given up, in ms. The timeout is
   * stated in whole seconds, and the endpoint may have rounded it up.
   */
  private static final long IDLE_MARGIN_MS = 1_500;

  /** Time for which a connection is kept to an endpoint that states no idle timeout, in ms. */
  private static final long DEFAULT_IDLE_MS = 1_000;

  /** Longest time for which a connection is kept, in ms, whatever the endpoint states. */
  private static final long MAX_IDLE_MS = 30_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Map<String, ArrayDeque<EndpointConnection>> idleByAddress = new HashMap<>();

  /**
   * Creates an instance without connections.
   *
   * @param loop event loop of all connections
   * @param clock monotonic clock
   */
  public EndpointConnections(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Takes an idle connection.
   *
   * @param address address of the endpoint
   * @return the connection used last, or empty if none is idle
   */
  Optional<EndpointConnection> takeIdle(String address) {
    ArrayDeque<EndpointConnection> idle = idleByAddress.get(address);
    while (idle != null && !idle.isEmpty()) {
      EndpointConnection c = idle.pollFirst();
      c.leaveIdle();
      if (c.channel().isActive() && clock.nowMs() < c.idleUntilMs()) {
        return Optional.of(c);
      }
      c.channel().close();
    }
    idleByAddress.remove(address);
    return Optional.empty();
  }

  /**
   * Opens a connection.
   *
   * @param address address of the endpoint
   * @param host IP address of the endpoint
   * @param port port of the endpoint
   * @param done receives the connection, or empty if the attempt failed
   * @return the connection, which is not connected yet
   */
  EndpointConnection open(
      String address, String host, int port, Consumer<Optional<EndpointConnection>> done) {
    EndpointConnection connection = new EndpointConnection(this, address);
    ChannelFuture connecting =
        ClientChannels.connect(loop, host, port, CONNECT_TIMEOUT_MS, connection.handler());
    connection.setChannel(connecting.channel());
    connecting.addListener(
        f -> done.accept(f.isSuccess() ? Optional.of(connection) : Optional.empty()));
    return connection;
  }

  /**
   * Keeps a connection whose last response is complete.
   *
   * @param connection the connection
   * @param endpointTimeoutMs idle timeout that the endpoint stated, in ms
   */
  void keep(EndpointConnection connection, OptionalLong endpointTimeoutMs) {
    long idleMs =
        Math.min(MAX_IDLE_MS, endpointTimeoutMs.orElse(DEFAULT_IDLE_MS + IDLE_MARGIN_MS))
            - IDLE_MARGIN_MS;
    ArrayDeque<EndpointConnection> idle =
        idleByAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
    if (idleMs <= 0 || idle.size() >= MAX_IDLE_PER_ENDPOINT) {
      connection.channel().close();
      return;
    }
    idle.addFirst(connection);
    connection.becomeIdle(
        clock.nowMs() + idleMs,
        loop.schedule(() -> connection.channel().close(), idleMs, TimeUnit.MILLISECONDS));
  }

  /**
   * Forgets a connection that was closed while idle.
   *
   * @param connection the connection
   */
  void closedWhileIdle(EndpointConnection connection) {
    ArrayDeque<EndpointConnection> idle = idleByAddress.get(connection.address());
    if (idle != null && idle.remove(connection) && idle.isEmpty()) {
      idleByAddress.remove(connection.address());
    }
  }

  /**
   * Closes the idle connections to an endpoint.
   *
   * @param address address of the endpoint
   */
  public void closeIdle(String address) {
    ArrayDeque<EndpointConnection> idle = idleByAddress.remove(address);
    if (idle != null) {
      idle.forEach(
          c -> {
            c.leaveIdle();
            c.channel().close();
          });
    }
  }
}
