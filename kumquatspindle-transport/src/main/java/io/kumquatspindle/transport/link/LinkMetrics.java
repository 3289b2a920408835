package io.kumquatspindle.transport.link;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.metrics.MetricsText;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts link traffic by kind of link and by message type. Thread-safe.
 *
 * <p>Byte counts are TCP payload: frames including their length fields. A link is counted as {@code
 * PEER} until it carries an {@code EntryHello}.
 */
public final class LinkMetrics {

  /** The kinds of processes that a link connects. */
  enum Kind {
    /** Two control programs. */
    PEER,
    /** An entry program and a control program. */
    ENTRY
  }

  private final MetricRegistry registry;
  private final Map<Kind, Traffic> traffic = new EnumMap<>(Kind.class);
  private final Map<Class<?>, Sent> sentByType = new ConcurrentHashMap<>();

  /**
   * Registers the counters of both kinds of link.
   *
   * @param registry the registry for the counters
   */
  public LinkMetrics(MetricRegistry registry) {
    this.registry = registry;
    for (Kind kind : Kind.values()) {
      traffic.put(kind, new Traffic(registry, kind));
    }
  }

  Traffic counters(Kind kind) {
    return traffic.get(kind);
  }

  /** Counts a message that is handed to the channel, by message type. */
  void messageSent(Message message, int bytes) {
    Sent s = sentByType.computeIfAbsent(message.getClass(), this::registerMessageType);
    s.messages().inc();
    s.bytes().inc(bytes);
  }

  private Sent registerMessageType(Class<?> type) {
    String name = type.getSimpleName();
    return new Sent(
        registry.counter(MetricsText.name("link_messages_sent", "message", name)),
        registry.counter(MetricsText.name("link_message_bytes_sent", "message", name)));
  }

  private record Sent(Counter messages, Counter bytes) {}

  /** The counters of one kind of link. */
  static final class Traffic {
    final Counter connections;
    final Counter bytesIn;
    final Counter bytesOut;
    final Counter framesIn;
    final Counter framesOut;

    private Traffic(MetricRegistry registry, Kind kind) {
      connections = counter(registry, "link_connections", kind);
      bytesIn = counter(registry, "link_bytes_in", kind);
      bytesOut = counter(registry, "link_bytes_out", kind);
      framesIn = counter(registry, "link_frames_in", kind);
      framesOut = counter(registry, "link_frames_out", kind);
    }

    private static Counter counter(MetricRegistry registry, String name, Kind kind) {
      return registry.counter(MetricsText.name(name, "kind", kind.name().toLowerCase(Locale.ROOT)));
    }
  }
}
