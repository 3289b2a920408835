package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Envelope;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

/** Keeps the events of connections; answers messages with a given function. */
final class RecordingListener implements LinkListener {
  final List<Link> open = new CopyOnWriteArrayList<>();
  final List<Envelope> received = new CopyOnWriteArrayList<>();
  final List<String> reasons = new CopyOnWriteArrayList<>();
  private final BiConsumer<Link, Envelope> answer;

  RecordingListener() {
    this((link, envelope) -> {});
  }

  RecordingListener(BiConsumer<Link, Envelope> answer) {
    this.answer = answer;
  }

  @Override
  public void opened(Link link) {
    open.add(link);
  }

  @Override
  public void received(Link link, Envelope envelope) {
    received.add(envelope);
    answer.accept(link, envelope);
  }

  @Override
  public void closed(Link link, String reason) {
    open.remove(link);
    reasons.add(reason);
  }
}
