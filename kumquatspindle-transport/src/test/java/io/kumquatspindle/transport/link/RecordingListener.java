package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Envelope;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

/** Records connection events and passes received messages to a handler. */
final class RecordingListener implements LinkListener {
  final List<Link> open = new CopyOnWriteArrayList<>();
  final List<Envelope> received = new CopyOnWriteArrayList<>();
  final List<String> reasons = new CopyOnWriteArrayList<>();
  private final BiConsumer<Link, Envelope> messageHandler;

  RecordingListener() {
    this((link, envelope) -> {});
  }

  RecordingListener(BiConsumer<Link, Envelope> messageHandler) {
    this.messageHandler = messageHandler;
  }

  @Override
  public void opened(Link link) {
    open.add(link);
  }

  @Override
  public void received(Link link, Envelope envelope) {
    received.add(envelope);
    messageHandler.accept(link, envelope);
  }

  @Override
  public void closed(Link link, String reason) {
    open.remove(link);
    reasons.add(reason);
  }
}
