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

/** A connection to one peer; questions asked before it is open wait for it. */
final class PeerConnection implements LinkListener, AutoCloseable {
  private static final int MAX_WAITING = 64;
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);
  private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);

  private final String address;
  private final Message hello;
  private final LinkListener listener;
  private final MonotonicClock clock;
  private final TimerService timers;
  private final Deque<PeerQuestion> waiting = new ArrayDeque<>();
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

  void ask(PeerQuestion question) {
    Optional<Link> link = client.current();
    if (link.isPresent()) {
      put(link.get(), question);
      return;
    }
    enqueue(question).ifPresent(q -> q.onFailure().accept("too many questions to " + address));
    timers.after(question.timeout(), () -> expire(question));
    // The connection may have opened between the look and the enqueue.
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
    takeWaiting().forEach(q -> q.onFailure().accept("connection closed"));
  }

  private synchronized Optional<PeerQuestion> enqueue(PeerQuestion question) {
    Optional<PeerQuestion> dropped = Optional.empty();
    if (waiting.size() >= MAX_WAITING) {
      dropped = Optional.of(waiting.removeFirst());
    }
    waiting.addLast(question);
    return dropped;
  }

  private void expire(PeerQuestion question) {
    boolean removed;
    synchronized (this) {
      removed = waiting.remove(question);
    }
    if (removed) {
      question.onFailure().accept("no connection to " + address);
    }
  }

  private synchronized List<PeerQuestion> takeWaiting() {
    List<PeerQuestion> all = new ArrayList<>(waiting);
    waiting.clear();
    return all;
  }

  private void flush(Link link) {
    takeWaiting().forEach(q -> put(link, q));
  }

  private void put(Link link, PeerQuestion q) {
    Duration left = q.remaining(clock.nowMs());
    if (left.isZero()) {
      q.onFailure().accept("timeout");
      return;
    }
    link.request(q.body(), left)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                q.onReply().accept(reply);
              } else {
                q.onFailure().accept(String.valueOf(failure.getMessage()));
              }
            });
  }
}
