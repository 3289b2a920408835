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
 * Connections to other control programs, opened on demand.
 *
 * <p>At most {@link #MAX_CONNECTIONS} are kept, since heartbeats on a connection to each of 350 VMs
 * would exceed the control traffic that a VM may cause. The one unused for longest is closed.
 */
public final class PeerConnectionPool implements AutoCloseable {
  /** Most connections that are kept open at once. */
  public static final int MAX_CONNECTIONS = 16;

  private final LinkRuntime runtime;
  private final Message hello;
  private final LinkListener listener;
  private final MonotonicClock clock;
  private final TimerService timers;
  private final Map<String, PeerConnection> connections = new LinkedHashMap<>(16, 0.75f, true);
  private boolean closed;

  /**
   * Creates a network without connections.
   *
   * @param runtime I/O threads
   * @param hello first message on each connection
   * @param listener receives messages that answer nothing
   * @param clock the monotonic clock
   * @param timers ends questions that have waited for too long
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
   * Asks a peer. Exactly one of the two callbacks is called, on an I/O or timer thread.
   *
   * @param address IP address and port of the peer
   * @param message the message
   * @param timeout how long to wait for the connection and the answer
   * @param onReply takes the answer
   * @param onFailure takes the reason why there is none
   */
  public void request(
      String address,
      Message message,
      Duration timeout,
      Consumer<Message> onReply,
      Consumer<String> onFailure) {
    PeerConnection c = connection(address);
    if (c == null) {
      onFailure.accept("stopping");
      return;
    }
    c.request(new PendingPeerRequest(message, timeout, clock.nowMs(), onReply, onFailure));
  }

  /**
   * Returns the number of connections.
   *
   * @return how many connections are kept, open or being opened
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
