package io.kumquatspindle.control;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.settings.Settings;
import io.kumquatspindle.api.settings.SettingsException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validated settings of the control program.
 *
 * @param vm this VM
 * @param failureDomain failure domain of this VM
 * @param peerAddress IP address and port for control and entry programs
 * @param advertisedAddress address at which peers reach this VM; the listen address by default
 * @param adminAddress IP address and port of the admin pages
 * @param logUrl base URL of the platform's log service
 * @param vmListUrl base URL of the platform's VM list
 * @param storeUrl base URL of the platform's weight store
 * @param seedAddresses peer addresses that are contacted while no other VM is known
 * @param logRetention how long the log keeps records
 * @param idempotencyWindow how long an idempotency key is remembered
 * @param replicaIdleLimit idle time after which a replica is unloaded
 * @param orderTimeout maximum duration of an order to an endpoint
 * @param reportPeriod interval between polls of an endpoint's report
 * @param stopLimit maximum time that a stop waits for peers to be notified and quota slots released
 * @param policy the policies; changed from the defaults only for comparisons
 * @param logFormat format of log lines, {@code json} or {@code text}
 * @param logLevel minimum severity of log lines
 */
public record ControlSettings(
    VmId vm,
    FailureDomain failureDomain,
    String peerAddress,
    String advertisedAddress,
    String adminAddress,
    String logUrl,
    String vmListUrl,
    String storeUrl,
    List<String> seedAddresses,
    Duration logRetention,
    Duration idempotencyWindow,
    Duration replicaIdleLimit,
    Duration orderTimeout,
    Duration reportPeriod,
    Duration stopLimit,
    PolicySettings policy,
    String logFormat,
    String logLevel) {

  private static final Pattern ADDRESS = Pattern.compile("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}");
  private static final Pattern URL = Pattern.compile("https?://[^\\s/]+(/\\S*)?");
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration DAY = Duration.ofDays(1);
  private static final Duration MIN_PERIOD = Duration.ofMillis(50);

  /**
   * Reads and validates a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws SettingsException if a setting is missing, invalid or unknown
   */
  public static ControlSettings load(Path file) throws SettingsException {
    Settings s = Settings.load(file);
    Optional<VmId> vm = s.value("vm", "id", "a VM name", t -> Optional.of(VmId.of(t)));
    Optional<FailureDomain> domain =
        s.value("vm", "failure_domain", "a failure domain", t -> Optional.of(FailureDomain.of(t)));
    String peers = address(s, "listen", "peers");
    String admin = address(s, "listen", "admin");
    String log = url(s, "log_url");
    String vms = url(s, "vm_list_url");
    String store = url(s, "store_url");
    Duration retention =
        s.millis(
            "platform", "log_retention_ms", DAY.multipliedBy(7), SECOND, DAY.multipliedBy(365));
    ControlSettings result =
        new ControlSettings(
            vm.orElse(VmId.of("absent")),
            domain.orElse(FailureDomain.of("absent")),
            peers,
            s.text("listen", "peers_advertised", peers),
            admin,
            log,
            vms,
            store,
            s.list("peers", "seed_addresses"),
            retention,
            s.millis("idempotency", "window_ms", DAY, SECOND, DAY),
            s.millis("placement", "idle_limit_ms", Duration.ofMinutes(10), SECOND, DAY),
            s.millis("placement", "order_timeout_ms", Duration.ofMinutes(5), SECOND, DAY),
            s.millis("placement", "report_period_ms", Duration.ofMillis(500), MIN_PERIOD, DAY),
            s.millis("stop", "limit_ms", Duration.ofSeconds(10), SECOND, DAY),
            PolicySettings.read(s),
            oneOf(s, "log", "format", "json", List.of("json", "text")),
            oneOf(s, "log", "level", "INFO", List.of("DEBUG", "INFO", "WARN", "ERROR")));
    s.validate();
    return result;
  }

  private static String address(Settings s, String section, String key) {
    return matching(s, section, key, ADDRESS, "an IP address and port, as in 127.0.0.1:7101");
  }

  private static String url(Settings s, String key) {
    return matching(s, "platform", key, URL, "an http URL, as in http://127.0.0.1:7000");
  }

  private static String matching(
      Settings s, String section, String key, Pattern pattern, String expected) {
    return s.value(
            section, key, expected, t -> Optional.of(t).filter(v -> pattern.matcher(v).matches()))
        .orElse("");
  }

  static String oneOf(
      Settings s, String section, String key, String defaultValue, List<String> allowed) {
    String value = s.text(section, key, defaultValue);
    if (!allowed.contains(value)) {
      s.addError(section, key, "one of " + String.join(", ", allowed));
    }
    return value;
  }
}
