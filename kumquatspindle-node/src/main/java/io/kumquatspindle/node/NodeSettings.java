package io.kumquatspindle.node;

import io.kumquatspindle.api.settings.Settings;
import io.kumquatspindle.api.settings.SettingsException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Settings of the node program.
 *
 * @param vm name of the VM
 * @param ip IP address of the VM
 * @param domain failure domain of the VM
 * @param domains all failure domains of the site
 * @param firstStart whether this is the first start of the whole system
 * @param callerPort port for callers
 * @param readyPort port for the platform's readiness checks
 * @param peerPort port for connections from other VMs
 * @param metricsPort port for metrics; 0 if metrics are not served
 * @param storeHost address of the store
 * @param storePort port of the store
 * @param storePartitions number of partitions of a topic
 * @param groupTtlMinMs minimum time to live of a group membership, in ms
 * @param configurationMs time within which a new configuration has to be in force, in ms
 * @param drainMs time within which requests must stop going to an endpoint that leaves, in ms
 * @param fenced whether endpoints reject orders with outdated fencing numbers
 * @param leaseMs time between the orders of successive partition holders, in ms
 * @param budgetWindowMs sliding window of the retry budget, in ms
 * @param budgetRatio retries allowed per request
 * @param budgetExtra retries allowed per window in addition
 * @param graceMs time from the stop signal until the process is killed, in ms
 * @param storeLoadsAtOnce maximum number of concurrent loads from the weight store; fewer run if
 *     they are slow
 * @param regions region of each failure domain
 * @param maxDescriptors maximum number of open files and connections of the process
 * @param callerMemoryKb memory for unfinished requests and unread responses of all callers, in KB;
 *     0 for a part of the heap
 * @param cachedPrompts whether the choice of an endpoint considers the prompts that it has cached
 * @param evacuateMs time within which requests must stop going to a failure domain that is
 *     evacuated, in ms
 * @param cacheEvents whether this VM reads what its engines say about their prompt caches
 */
public record NodeSettings(
    String vm,
    String ip,
    String domain,
    List<String> domains,
    boolean firstStart,
    int callerPort,
    int readyPort,
    int peerPort,
    int metricsPort,
    String storeHost,
    int storePort,
    int storePartitions,
    long groupTtlMinMs,
    long configurationMs,
    long drainMs,
    boolean fenced,
    long leaseMs,
    long budgetWindowMs,
    double budgetRatio,
    double budgetExtra,
    long graceMs,
    int storeLoadsAtOnce,
    Map<String, String> regions,
    int maxDescriptors,
    long callerMemoryKb,
    boolean cachedPrompts,
    long evacuateMs,
    boolean cacheEvents) {

  private static final int MAX_PORT = 65_535;
  private static final long HOUR_MS = 3_600_000;
  private static final long DEFAULT_EVACUATE_MS = 5_000;
  private static final long MAX_ENDPOINTS_READ_DELAY_MS = 1_300;

  /**
   * Reads and validates a settings file.
   *
   * @param path path of the INI file
   * @return the settings
   * @throws SettingsException if values are invalid, with one line for each of them
   */
  public static NodeSettings load(Path path) throws SettingsException {
    Settings s = Settings.load(path);
    Address callers = address(s, "listen", "callers");
    Address ready = address(s, "listen", "ready");
    Address store = address(s, "store", "address");
    NodeSettings result =
        new NodeSettings(
            s.text("vm", "name"),
            s.text("vm", "ip"),
            s.text("vm", "failure_domain"),
            s.list("vm", "failure_domains"),
            s.flag("vm", "first_start", false),
            callers.port(),
            ready.port(),
            (int) s.number("listen", "peer_port", 0, 0, MAX_PORT),
            (int) s.number("listen", "metrics_port", 0, 0, MAX_PORT),
            store.host(),
            store.port(),
            (int) s.number("store", "partitions", 8, 1, 1_000),
            s.number("store", "member_ttl_min_ms", 1_000, 1, HOUR_MS),
            s.number("configuration", "in_force_ms", 2_000, 1, HOUR_MS),
            s.number("endpoints", "drain_ms", 2_000, 1, HOUR_MS),
            s.flag("orders", "fencing", false),
            s.number("orders", "lease_ms", 3_000, 0, HOUR_MS),
            s.number("second_sends", "window_s", 10, 1, 3_600) * 1_000,
            decimal(s, "second_sends", "ratio"),
            decimal(s, "second_sends", "extra"),
            s.number("stop", "grace_s", 8, 1, 3_600) * 1_000,
            (int) s.number("orders", "store_loads_at_once", 4, 1, 1_000),
            regions(s),
            (int) s.number("callers", "max_descriptors", 4_096, 256, 1_000_000),
            s.number("callers", "memory_kb", 0, 0, 1_000_000),
            s.flag("routing", "cached_prompts", true),
            evacuateMs(s),
            s.flag("routing", "cache_events", false));
    s.validate();
    return result;
  }

  /**
   * Returns the maximum wait of a long poll for the configuration. The store may fail to complete a
   * waiting poll when a record arrives, so half of the available time is left for the next one.
   *
   * @return time in ms
   */
  public long configurationLongPollMs() {
    return configurationTopicMs() / 2;
  }

  /** Returns the time within which a record beside the configuration must be in force, in ms. */
  private long configurationTopicMs() {
    return Math.min(configurationMs, evacuateMs);
  }

  /**
   * Returns the maximum wait of a long poll for the configuration on which other VMs rely. They
   * notice only after its end that the reader is gone, and read themselves then.
   *
   * @return time in ms
   */
  public long sharedLongPollMs() {
    return configurationTopicMs() / 4;
  }

  /**
   * Returns the delay between reads of the endpoints. A read that fails once, and a slow response,
   * must not let requests go to an endpoint that leaves for too long. What peers tell of a load
   * stays valid until the entry has been read that a heartbeat later confirms it.
   *
   * @return time in ms
   */
  public long endpointsReadDelayMs() {
    return Math.min(MAX_ENDPOINTS_READ_DELAY_MS, drainMs * 9 / 20);
  }

  /** Reads the time for evacuations, which platforms that do not know of them render as nothing. */
  private static long evacuateMs(Settings s) {
    return s.text("endpoints", "evacuate_ms", "").isEmpty()
        ? DEFAULT_EVACUATE_MS
        : s.number("endpoints", "evacuate_ms", DEFAULT_EVACUATE_MS, 1, HOUR_MS);
  }

  private static Map<String, String> regions(Settings s) {
    Map<String, String> regions = new HashMap<>();
    for (String pair : s.list("vm", "regions")) {
      int colon = pair.indexOf(':');
      if (colon < 1) {
        s.addError("vm", "regions", "a list of DOMAIN:REGION");
      } else {
        regions.put(pair.substring(0, colon).strip(), pair.substring(colon + 1).strip());
      }
    }
    return Map.copyOf(regions);
  }

  private static double decimal(Settings s, String section, String key) {
    return s.value(section, key, "a number that is not negative", NodeSettings::nonNegative)
        .orElse(0.0);
  }

  private static java.util.Optional<Double> nonNegative(String text) {
    double d = Double.parseDouble(text);
    return d >= 0 ? java.util.Optional.of(d) : java.util.Optional.empty();
  }

  private static Address address(Settings s, String section, String key) {
    return s.value(section, key, "an address as HOST:PORT", Address::parse)
        .orElse(new Address("", 0));
  }

  private record Address(String host, int port) {
    private static java.util.Optional<Address> parse(String text) {
      int colon = text.lastIndexOf(':');
      if (colon < 1) {
        return java.util.Optional.empty();
      }
      int port = Integer.parseInt(text.substring(colon + 1));
      return java.util.Optional.of(new Address(text.substring(0, colon), port));
    }
  }
}
