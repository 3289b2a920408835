package io.kumquatspindle.control.peer;

import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.transport.link.LinkListener;
import io.kumquatspindle.transport.link.LinkRuntime;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A pool of connections to other control programs, opened on demand. Thread-safe.
 *
 * <p>At most {@link #MAX_CONNECTIONS} are kept, since heartbeats on a connection to each of 350 VMs
 * would exceed the control traffic allowed for a VM. When the limit is reached, the least recently
 * used connection is closed.
 */
public final class PeerConnectionPool implements AutoCloseable {
  /** Maximum number of connections. */
  public static final int MAX_CONNECTIONS = 16;

  private final LinkRuntime runtime;
  private final Message hello;
  private final LinkListener listener;
  private final MonotonicClock clock;
  private final TimerService timers;
  private final Map<String, PeerConnection> connections = new LinkedHashMap<>(16, 0.75f, true);
  private boolean closed;

  /**
   * Creates an empty pool.
   *
   * @param runtime I/O threads
   * @param hello first message on each connection
   * @param listener receives messages that are not replies
   * @param clock the monotonic clock
   * @param timers fails requests whose connection is not open in time
   */
  public PeerConnectionPool(
      LinkRuntime runtime,
      Message hello,
      LinkListener listener,
      MonotonicClock clock,
      TimerService timers) {
    this.runtime = runtime;
    this.hello = hello;
    this.listener = listener;
    this.clock = clock;
    this.timers = timers;
  }

  /**
   * Sends a request to a peer. Exactly one of the two callbacks is called, on an I/O or timer
   * thread, or on the calling thread if the request fails at once.
   *
   * @param address IP address and port of the peer
   * @param message the message
   * @param timeout how long to wait for the connection and the reply
   * @param onReply receives the reply
   * @param onFailure receives the reason why there is no reply
   */
  public void request(
      String address,
      Message message,
      Duration timeout,
      Consumer<Message> onReply,
      Consumer<String> onFailure) {
    PeerConnection c = connection(address);
    if (c == null) {
      onFailure.accept("connection pool closed");
      return;
    }
    c.request(new PendingPeerRequest(message, timeout, clock.nowMs(), onReply, onFailure));
  }

  /**
   * Returns the number of connections.
   *
   * @return the number of connections that are open or being opened
   */
  public synchronized int size() {
    return connections.size();
  }

  private synchronized PeerConnection connection(String address) {
    if (closed) {
      return null;
    }
    PeerConnection existing = connections.get(address);
    if (existing != null) {
      return existing;
    }
    closeLeastRecentlyUsed();
    PeerConnection c = new PeerConnection(runtime, address, hello, listener, clock, timers);
    connections.put(address, c);
    return c;
  }

  private void closeLeastRecentlyUsed() {
    while (connections.size() >= MAX_CONNECTIONS) {
      String address = connections.keySet().iterator().next();
      connections.remove(address).close();
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    connections.values().forEach(PeerConnection::close);
    connections.clear();
  }
}
