package io.kumquatspindle.standins;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.api.settings.Settings;
import io.kumquatspindle.api.settings.SettingsException;
import io.kumquatspindle.standins.endpoint.EngineOptions;
import io.kumquatspindle.standins.endpoint.ServiceOptions;
import io.kumquatspindle.standins.platform.LogOptions;
import io.kumquatspindle.standins.platform.StoreOptions;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The validated settings of the stand-ins program, read from an INI file. */
final class StandInsSettings {
  private static final String HOST = "127.0.0.1";
  private static final Duration HOUR = Duration.ofHours(1);
  private static final Duration ZERO = Duration.ZERO;

  private final Settings ini;

  final int threads;
  final Optional<InetSocketAddress> logAddress;
  final LogOptions log;
  final Optional<InetSocketAddress> vmListAddress;
  final Duration vmListLag;
  final List<ListedVm> vms;
  final Optional<InetSocketAddress> storeAddress;
  final StoreOptions store;
  final Optional<String> storeUrl;
  final Duration adapterLoadMin;
  final Duration adapterLoadMax;
  final int adapterLoadsAtOnce;
  final Map<EngineOptions, InetSocketAddress> engines = new LinkedHashMap<>();
  final Map<ServiceOptions, InetSocketAddress> services = new LinkedHashMap<>();

  private StandInsSettings(Settings ini) {
    this.ini = ini;
    threads = (int) ini.number("process", "threads", 4, 1, 64);
    logAddress = optionalAddress("log");
    log =
        new LogOptions(
            millis("log", "retention_ms", Duration.ofDays(1), Duration.ofDays(30)),
            millis("log", "append_latency_ms", Duration.ofMillis(2), HOUR),
            (int) ini.number("log", "appends_per_second", 500, 1, 1_000_000));
    vmListAddress = optionalAddress("vm_list");
    vmListLag = millis("vm_list", "lag_ms", Duration.ofSeconds(1), HOUR);
    vms = ini.list("vm_list", "vms").stream().flatMap(s -> vm(s).stream()).toList();
    storeAddress = optionalAddress("store");
    store =
        new StoreOptions(
            (int) ini.number("store", "transfers_at_once", 4, 1, 10_000),
            ini.number("store", "megabytes_per_second", 1000, 1, 10_000_000),
            ini.number("store", "loads_per_minute", 240, 1, 10_000_000) / 60.0);
    String url = ini.text("engines", "store_url", "");
    storeUrl = url.isEmpty() ? Optional.empty() : Optional.of(url);
    adapterLoadMin = millis("engines", "adapter_load_min_ms", Duration.ofMillis(5), HOUR);
    adapterLoadMax = millis("engines", "adapter_load_max_ms", Duration.ofMillis(13), HOUR);
    adapterLoadsAtOnce = (int) ini.number("engines", "adapter_loads_at_once", 30, 1, 100_000);
    ini.list("engines", "names").forEach(this::readEngine);
    ini.list("services", "names").forEach(this::readService);
    check();
  }

  /**
   * Reads and validates a settings file.
   *
   * @param path the file
   * @return its settings
   * @throws SettingsException if a value is invalid or a key is unknown
   */
  static StandInsSettings load(Path path) throws SettingsException {
    Settings ini = Settings.load(path);
    StandInsSettings s = new StandInsSettings(ini);
    ini.validate();
    return s;
  }

  private void check() {
    if (adapterLoadMax.compareTo(adapterLoadMin) < 0) {
      ini.addError("engines", "adapter_load_max_ms", "at least adapter_load_min_ms");
    }
    if (!engines.isEmpty() && storeAddress.isEmpty() && storeUrl.isEmpty()) {
      ini.addError("engines", "store_url", "a weight store: this key or section [store]");
    }
  }

  private void readEngine(String name) {
    String section = "engine " + name;
    EngineOptions options =
        new EngineOptions(
            name,
            engineNumber(section, "memory_mb", 80_000, 1, 100_000_000),
            ini.flag(section, "fencing", ini.flag("engines", "fencing", true)),
            (int) engineNumber(section, "capacity", 32, 1, 100_000),
            (int) engineNumber(section, "max_waiting", 256, 0, 1_000_000),
            Duration.ofMillis(engineNumber(section, "first_token_ms", 50, 0, HOUR.toMillis())),
            Duration.ofMillis(engineNumber(section, "per_token_ms", 10, 0, HOUR.toMillis())),
            (int) engineNumber(section, "answer_tokens", 16, 1, 100_000),
            engineNumber(section, "memory_mb_per_second", 20_000, 1, 100_000_000),
            engineNumber(section, "disk_mb_per_second", 4_000, 1, 100_000_000),
            engineNames(section, "in_memory"),
            engineNames(section, "on_disk"),
            Duration.ofMillis(engineNumber(section, "report_lag_ms", 0, 0, HOUR.toMillis())),
            (int) engineNumber(section, "history", 10_000, 0, 10_000_000));
    engines.put(options, address(section));
  }

  private void readService(String name) {
    String section = "service " + name;
    Duration defaultDelay = millis("services", "delay_ms", Duration.ofMillis(5), HOUR);
    ServiceOptions options =
        new ServiceOptions(
            name,
            ini.millis(section, "delay_ms", defaultDelay, ZERO, HOUR),
            (int) ini.number(section, "capacity", 100, 1, 1_000_000),
            (int) ini.number(section, "history", 10_000, 0, 10_000_000));
    services.put(options, address(section));
  }

  /** Reads a number of one engine, with the value for all engines as the default. */
  private long engineNumber(String section, String key, long defaultValue, long min, long max) {
    return ini.number(section, key, ini.number("engines", key, defaultValue, min, max), min, max);
  }

  private Set<String> engineNames(String section, String key) {
    List<String> names = ini.list(section, key);
    return Set.copyOf(names.isEmpty() ? ini.list("engines", key) : names);
  }

  private Duration millis(String section, String key, Duration defaultValue, Duration max) {
    return ini.millis(section, key, defaultValue, ZERO, max);
  }

  private Optional<InetSocketAddress> optionalAddress(String section) {
    return ini.text(section, "listen", "").isEmpty()
        ? Optional.empty()
        : Optional.of(address(section));
  }

  private InetSocketAddress address(String section) {
    InetSocketAddress any = new InetSocketAddress(HOST, 0);
    if (ini.text(section, "listen", "").isEmpty()) {
      return any;
    }
    return ini.value(section, "listen", HOST + ":port", StandInsSettings::parseAddress).orElse(any);
  }

  private static Optional<InetSocketAddress> parseAddress(String s) {
    String prefix = HOST + ":";
    if (!s.startsWith(prefix)) {
      return Optional.empty();
    }
    return Optional.of(new InetSocketAddress(HOST, Integer.parseInt(s.substring(prefix.length()))));
  }

  private Optional<ListedVm> vm(String s) {
    String[] parts = s.split("@", -1);
    if (parts.length == 3) {
      try {
        VmId id = VmId.of(parts[0]);
        return Optional.of(new ListedVm(id, FailureDomain.of(parts[1]), parts[2], false));
      } catch (IllegalArgumentException e) {
        // Reported below, like a wrong number of parts.
      }
    }
    ini.addError("vm_list", "vms", "vm@failure_domain@host:port, separated by commas");
    return Optional.empty();
  }
}
