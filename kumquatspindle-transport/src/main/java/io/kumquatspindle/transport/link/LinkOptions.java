package io.kumquatspindle.transport.link;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/** The options that {@link LinkServer} and {@link LinkClient} share. */
final class LinkOptions {
  final LinkRuntime runtime;
  final LinkListener listener;
  private InetSocketAddress address;
  private Duration heartbeat = Duration.ofSeconds(1);
  private Duration silenceLimit = Duration.ofSeconds(3);

  LinkOptions(LinkRuntime runtime, LinkListener listener) {
    this.runtime = Objects.requireNonNull(runtime, "runtime");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  void address(InetSocketAddress value) {
    address = Objects.requireNonNull(value, "address");
  }

  void heartbeat(Duration value) {
    heartbeat = requirePositive(value, "heartbeat");
  }

  void silenceLimit(Duration value) {
    silenceLimit = requirePositive(value, "silenceLimit");
  }

  InetSocketAddress address() {
    return address;
  }

  long heartbeatMs() {
    return heartbeat.toMillis();
  }

  long silenceLimitMs() {
    return silenceLimit.toMillis();
  }

  void validate() {
    if (address == null) {
      throw new IllegalStateException("address is required");
    }
    if (heartbeatMs() * 2 > silenceLimitMs()) {
      throw new IllegalStateException("silenceLimit must be at least twice the heartbeat period");
    }
  }

  static Duration requirePositive(Duration value, String name) {
    if (value.toMillis() < 1) {
      throw new IllegalArgumentException(name + " must be at least 1 ms but was " + value);
    }
    return value;
  }
}
