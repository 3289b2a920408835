package io.kumquatspindle.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.node.observe.EventLog;
import io.netty.channel.EventLoop;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/** Creates {@link NodeContext}s with a manual clock, by default without event loop and log. */
public final class TestNodes {
  /** Peer address of the VM that {@link #of} creates. */
  public static final String SELF = "10.0.0.1:7600";

  private TestNodes() {}

  /**
   * Returns the context of a VM in the first failure domain.
   *
   * @param now value of the clock, in ms
   * @param domains all failure domains
   * @return the context
   */
  public static NodeContext of(AtomicLong now, String... domains) {
    return of(now, OutputStream.nullOutputStream(), domains);
  }

  /**
   * Returns the context of a VM in the first failure domain.
   *
   * @param now value of the clock, in ms
   * @param output destination of the log
   * @param domains all failure domains
   * @return the context
   */
  public static NodeContext of(AtomicLong now, OutputStream output, String... domains) {
    return of(now, null, output, domains);
  }

  /**
   * Returns the context of a VM in the first failure domain.
   *
   * @param now value of the clock, in ms
   * @param loop event loop; null if the test schedules nothing
   * @param output destination of the log
   * @param domains all failure domains
   * @return the context
   */
  public static NodeContext of(
      AtomicLong now, EventLoop loop, OutputStream output, String... domains) {
    return new NodeContext(
        settings("10.0.0.1", 1, List.of(domains)),
        loop,
        now::get,
        new EventLog(output, now::get, "vm", new Counter()),
        new MetricRegistry());
  }

  /**
   * Returns the context of a VM that accepts callers on the loopback address.
   *
   * @param now value of the clock, in ms
   * @param loop event loop
   * @param callerPort port for callers
   * @return the context
   */
  public static NodeContext listening(AtomicLong now, EventLoop loop, int callerPort) {
    return new NodeContext(
        settings("127.0.0.1", callerPort, List.of("west")),
        loop,
        now::get,
        new EventLog(OutputStream.nullOutputStream(), now::get, "vm", new Counter()),
        new MetricRegistry());
  }

  /**
   * Returns the context of a VM of a simulated fleet, without event loop and log.
   *
   * @param now value of the clock, in ms
   * @param ip IP address of the VM
   * @param domain its failure domain
   * @param domains all failure domains
   * @return the context
   */
  public static NodeContext inFleet(
      AtomicLong now, String ip, String domain, List<String> domains) {
    return inFleet(now, ip, domain, domains, true);
  }

  /**
   * Returns the context of a VM of a simulated fleet, without event loop and log.
   *
   * @param now value of the clock, in ms
   * @param ip IP address of the VM
   * @param domain its failure domain
   * @param domains all failure domains
   * @param fenced whether endpoints reject orders with outdated fencing numbers
   * @return the context
   */
  public static NodeContext inFleet(
      AtomicLong now, String ip, String domain, List<String> domains, boolean fenced) {
    return new NodeContext(
        settings(ip, domain, 1, domains, fenced),
        null,
        now::get,
        new EventLog(OutputStream.nullOutputStream(), now::get, ip, new Counter()),
        new MetricRegistry());
  }

  /**
   * Returns a customer whose rate limit counts tokens.
   *
   * @param name its name
   * @param ratePerS tokens per second
   * @param burst maximum burst, in tokens
   * @return the customer
   */
  public static CustomerInfo customer(String name, double ratePerS, double burst) {
    return new CustomerInfo(name, Set.of(), OptionalInt.empty(), true, 0, ratePerS, burst);
  }

  /**
   * Returns the entry of an endpoint of the service "s" that is not cold.
   *
   * @param id its id
   * @param domain its failure domain
   * @param startedAtMs when it started, in ms
   * @param models names of the models that it holds
   * @return the entry
   */
  public static EndpointEntry entry(String id, String domain, long startedAtMs, String... models) {
    return entry("s", id, domain, startedAtMs, 0, models);
  }

  /**
   * Returns the entry of an endpoint.
   *
   * @param service its service
   * @param id its id
   * @param domain its failure domain
   * @param startedAtMs when it started, in ms
   * @param coldLeftMs how long it stays cold, in ms
   * @param models names of the models that it holds
   * @return the entry
   */
  public static EndpointEntry entry(
      String service,
      String id,
      String domain,
      long startedAtMs,
      long coldLeftMs,
      String... models) {
    return new EndpointEntry(
        id,
        service,
        "10.0.1.1",
        80,
        domain,
        8,
        false,
        OptionalLong.empty(),
        startedAtMs,
        Arrays.stream(models).map(m -> new LoadedModel(m, Set.of())).toList(),
        Set.of(),
        Set.of(),
        coldLeftMs);
  }

  /**
   * Returns a configuration of services without routes and customers.
   *
   * @param services the services
   * @return the configuration
   */
  public static FleetConfiguration configuration(ServiceInfo... services) {
    return new FleetConfiguration(
        1, List.of(), List.of(services), List.of(), CallerLimits.DEFAULTS);
  }

  private static NodeSettings settings(String ip, int callerPort, List<String> domains) {
    return settings(ip, domains.get(0), callerPort, domains, true);
  }

  private static NodeSettings settings(
      String ip, String domain, int callerPort, List<String> domains, boolean fenced) {
    return new NodeSettings(
        "vm",
        ip,
        domain,
        domains,
        true,
        callerPort,
        2,
        7600,
        0,
        "10.0.0.9",
        80,
        8,
        1_000,
        2_000,
        2_000,
        fenced,
        3_000,
        10_000,
        0.2,
        50,
        8_000,
        4,
        Map.of(),
        4_096,
        0,
        true,
        5_000,
        false);
  }
}
