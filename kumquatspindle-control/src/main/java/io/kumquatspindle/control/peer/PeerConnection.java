package io.kumquatspindle.control.peer;

import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.settings.IpAddress;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.transport.link.Link;
import io.kumquatspindle.transport.link.LinkClient;
import io.kumquatspindle.transport.link.LinkListener;
import io.kumquatspindle.transport.link.LinkRuntime;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** A connection to one peer. Requests are queued until the connection is open. */
final class PeerConnection implements LinkListener, AutoCloseable {
  private static final int MAX_PENDING = 64;
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);
  private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);

  private final String address;
  private final Message hello;
  private final LinkListener listener;
  private final MonotonicClock clock;
  private final TimerService timers;
  private final Deque<PendingPeerRequest> pending = new ArrayDeque<>();
  private final LinkClient client;

  PeerConnection(
      LinkRuntime runtime,
      String address,
      Message hello,
      LinkListener listener,
      MonotonicClock clock,
      TimerService timers) {
    this.address = address;
    this.hello = hello;
    this.listener = listener;
    this.clock = clock;
    this.timers = timers;
    this.client =
        LinkClient.builder(runtime, this)
            .address(IpAddress.parse(address))
            .heartbeat(HEARTBEAT)
            .silenceLimit(SILENCE_LIMIT)
            .start();
  }

  void request(PendingPeerRequest request) {
    Optional<Link> link = client.current();
    if (link.isPresent()) {
      send(link.get(), request);
      return;
    }
    enqueue(request)
        .ifPresent(
            dropped -> dropped.onFailure().accept("too many pending requests to " + address));
    timers.after(request.timeout(), () -> expire(request));
    // The connection may have opened after the check and before the request was queued.
    client.current().ifPresent(this::flush);
  }

  @Override
  public void opened(Link link) {
    link.send(hello);
    flush(link);
    listener.opened(link);
  }

  @Override
  public void received(Link link, Envelope envelope) {
    listener.received(link, envelope);
  }

  @Override
  public void closed(Link link, String reason) {
    listener.closed(link, reason);
  }

  @Override
  public void close() {
    client.close();
    drainPending().forEach(request -> request.onFailure().accept("connection closed"));
  }

  private synchronized Optional<PendingPeerRequest> enqueue(PendingPeerRequest request) {
    Optional<PendingPeerRequest> dropped = Optional.empty();
    if (pending.size() >= MAX_PENDING) {
      dropped = Optional.of(pending.removeFirst());
    }
    pending.addLast(request);
    return dropped;
  }

  private void expire(PendingPeerRequest request) {
    boolean removed;
    synchronized (this) {
      removed = pending.remove(request);
    }
    if (removed) {
      request.onFailure().accept("no connection to " + address);
    }
  }

  private synchronized List<PendingPeerRequest> drainPending() {
    List<PendingPeerRequest> all = new ArrayList<>(pending);
    pending.clear();
    return all;
  }

  private void flush(Link link) {
    drainPending().forEach(request -> send(link, request));
  }

  private void send(Link link, PendingPeerRequest request) {
    Duration remaining = request.remaining(clock.nowMs());
    if (remaining.isZero()) {
      request.onFailure().accept("timeout");
      return;
    }
    link.request(request.message(), remaining)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                request.onReply().accept(reply);
              } else {
                request.onFailure().accept(String.valueOf(failure.getMessage()));
              }
            });
  }
}
