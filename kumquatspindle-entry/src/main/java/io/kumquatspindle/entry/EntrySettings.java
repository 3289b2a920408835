package io.kumquatspindle.entry;

import com.sun.management.UnixOperatingSystemMXBean;
import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.settings.Settings;
import io.kumquatspindle.api.settings.SettingsException;
import io.kumquatspindle.entry.request.RequestLimits;
import io.kumquatspindle.transport.callers.CallerMemory;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Settings of the entry program.
 *
 * @param vm id of this VM
 * @param failureDomain failure domain of this VM
 * @param callers address on which callers are served
 * @param admin address of health checks and metrics
 * @param control addresses of control programs, the local one first
 * @param limits limits on requests
 * @param callerLimits limits on connections of callers
 * @param stop times of the graceful shutdown
 * @param log settings of the log
 * @param trace settings of the export of traces
 */
public record EntrySettings(
    VmId vm,
    FailureDomain failureDomain,
    InetSocketAddress callers,
    InetSocketAddress admin,
    List<InetSocketAddress> control,
    RequestLimits limits,
    CallerPort callerLimits,
    Stop stop,
    Log log,
    Trace trace) {

  private static final Duration MAX_DURATION = Duration.ofHours(1);

  /** Memory that a request with a small head and no body takes. */
  private static final long MIN_MEMORY_KB = 64;

  /** Used if the limit of the process is unknown; typical of operating systems. */
  private static final long DEFAULT_DESCRIPTORS = 1_024;

  private static final String ADDRESS = "an address such as 127.0.0.1:8080";

  /**
   * Limits on connections of callers.
   *
   * @param connection limits of each connection
   * @param all limits of all connections together
   */
  public record CallerPort(CallerLimits connection, CallerMemory.Limits all) {}

  /**
   * Times of the graceful shutdown.
   *
   * @param balancerDelay time until the load balancer has noticed that the VM is not ready
   * @param drainLimit longest time to wait for requests in flight
   */
  public record Stop(Duration balancerDelay, Duration drainLimit) {}

  /**
   * Settings of the log.
   *
   * @param format json or text
   * @param level lowest level that is written
   */
  public record Log(String format, String level) {}

  /**
   * Settings of the export of traces.
   *
   * @param exporter none, log or otlp
   * @param endpoint URL of the collector; used by otlp only
   */
  public record Trace(String exporter, String endpoint) {}

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws SettingsException if the file is not valid; the message has one line for each fault
   */
  public static EntrySettings load(Path file) throws SettingsException {
    Settings s = Settings.load(file);
    Optional<VmId> vm = s.value("vm", "id", "a name", v -> Optional.of(VmId.of(v)));
    Optional<FailureDomain> domain =
        s.value("vm", "failure_domain", "a name", v -> Optional.of(FailureDomain.of(v)));
    Optional<InetSocketAddress> callers =
        s.value("listen", "callers", ADDRESS, EntrySettings::address);
    Optional<InetSocketAddress> admin = s.value("listen", "admin", ADDRESS, EntrySettings::address);
    List<InetSocketAddress> control = control(s);
    RequestLimits limits = limits(s);
    CallerPort callerLimits = callerLimits(s, limits.maxBodyBytes());
    Stop stop = stop(s);
    Log log =
        new Log(
            choice(s, "log", "format", "json", List.of("json", "text")),
            choice(s, "log", "level", "info", List.of("debug", "info", "warn", "error")));
    Trace trace = trace(s);
    s.validate();
    return new EntrySettings(
        vm.orElseThrow(),
        domain.orElseThrow(),
        callers.orElseThrow(),
        admin.orElseThrow(),
        control,
        limits,
        callerLimits,
        stop,
        log,
        trace);
  }

  private static RequestLimits limits(Settings s) {
    int maxBodyBytes = (int) s.number("limits", "body_bytes", 4L << 20, 1024, 64L << 20);
    int maxWaiting = (int) s.number("limits", "waiting_requests", 2_000, 1, 100_000);
    int maxRunning = (int) s.number("limits", "running_requests", 1_000, 1, 20_000);
    long maxTotalBodyBytes = s.number("limits", "body_bytes_at_once", 16L << 20, 1024, 16L << 30);
    if (maxTotalBodyBytes < maxBodyBytes) {
      s.addError("limits", "body_bytes_at_once", "at least body_bytes");
    }
    Duration min = Duration.ofMillis(1);
    Duration defaultDeadline =
        s.millis("limits", "default_deadline_ms", Duration.ofSeconds(30), min, MAX_DURATION);
    Duration maxDeadline =
        s.millis("limits", "max_deadline_ms", Duration.ofSeconds(120), min, MAX_DURATION);
    if (defaultDeadline.compareTo(maxDeadline) > 0) {
      s.addError("limits", "default_deadline_ms", "at most max_deadline_ms");
    }
    long maxTokens = s.number("limits", "default_max_tokens", 256, 1, 1_000_000);
    return new RequestLimits(
        maxBodyBytes,
        maxWaiting,
        maxRunning,
        maxTotalBodyBytes,
        defaultDeadline,
        maxDeadline,
        maxTokens);
  }

  private static CallerPort callerLimits(Settings s, int maxBodyBytes) {
    int headerBytes = (int) s.number("callers", "header_bytes", 16_384, 1_024, 1 << 20);
    long headerMs = s.number("callers", "header_timeout_ms", 10_000, 100, MAX_DURATION.toMillis());
    long idleMs = s.number("callers", "idle_timeout_ms", 300_000, 100, MAX_DURATION.toMillis());
    long memoryKb = s.number("callers", "memory_kb", 0, 0, 64L << 20);
    long setting = s.number("callers", "max_descriptors", 0, 0, 10_000_000);
    long descriptors = setting > 0 ? setting : processDescriptors();
    CallerMemory.Limits all = CallerMemory.Limits.of(memoryKb, descriptors);
    if (memoryKb > 0
        && (memoryKb < MIN_MEMORY_KB || all.bytes() > Runtime.getRuntime().maxMemory())) {
      s.addError("callers", "memory_kb", "0, or from " + MIN_MEMORY_KB + " to the heap");
    } else if (all.connections() < 1) {
      s.addError("callers", "max_descriptors", "more than 201, as the limit of the process");
    }
    return new CallerPort(new CallerLimits(headerBytes, maxBodyBytes, headerMs, idleMs), all);
  }

  private static long processDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
        ? unix.getMaxFileDescriptorCount()
        : DEFAULT_DESCRIPTORS;
  }

  private static Stop stop(Settings s) {
    Duration delay =
        s.millis("stop", "balancer_delay_ms", Duration.ofSeconds(5), Duration.ZERO, MAX_DURATION);
    Duration drain =
        s.millis("stop", "drain_limit_ms", Duration.ofSeconds(120), Duration.ZERO, MAX_DURATION);
    return new Stop(delay, drain);
  }

  private static Trace trace(Settings s) {
    String exporter = choice(s, "trace", "exporter", "none", List.of("none", "log", "otlp"));
    String endpoint = s.text("trace", "endpoint", "");
    if (exporter.equals("otlp") && !endpoint.startsWith("http")) {
      s.addError("trace", "endpoint", "a URL such as http://127.0.0.1:4318/v1/traces");
    }
    return new Trace(exporter, endpoint);
  }

  private static List<InetSocketAddress> control(Settings s) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String text : s.list("control", "addresses")) {
      Optional<InetSocketAddress> address = address(text);
      address.ifPresentOrElse(
          addresses::add, () -> s.addError("control", "addresses", "a list with " + ADDRESS));
    }
    if (addresses.isEmpty()) {
      s.addError("control", "addresses", "at least one address");
    }
    return List.copyOf(addresses);
  }

  private static String choice(
      Settings s, String section, String key, String defaultValue, List<String> allowed) {
    String value = s.text(section, key, defaultValue);
    if (!allowed.contains(value)) {
      s.addError(section, key, "one of " + String.join(", ", allowed));
    }
    return value;
  }

  private static Optional<InetSocketAddress> address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      return Optional.empty();
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    return port < 0 || port > 65_535
        ? Optional.empty()
        : Optional.of(InetSocketAddress.createUnresolved(text.substring(0, colon), port));
  }
}
