package io.kumquatspindle.standins;

import io.kumquatspindle.api.settings.SettingsException;
import io.kumquatspindle.standins.endpoint.AdapterLoadTracker;
import io.kumquatspindle.standins.endpoint.EngineOptions;
import io.kumquatspindle.standins.endpoint.EngineStandIn;
import io.kumquatspindle.standins.endpoint.ServiceOptions;
import io.kumquatspindle.standins.endpoint.ServiceStandIn;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.StandIn;
import io.kumquatspindle.standins.platform.HttpWeightSource;
import io.kumquatspindle.standins.platform.LogStandIn;
import io.kumquatspindle.standins.platform.StoreStandIn;
import io.kumquatspindle.standins.platform.VmListStandIn;
import io.kumquatspindle.standins.platform.WeightSource;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Runs the stand-ins that one settings file configures. */
public final class StandIns implements AutoCloseable {
  private final HttpHost host;
  private final Map<String, Integer> ports = new LinkedHashMap<>();

  private StandIns(StandInsSettings settings) throws IOException {
    host = HttpHost.start(settings.threads);
    try {
      listenAll(settings);
    } catch (IOException e) {
      host.close();
      throw e;
    }
  }

  /**
   * Starts the stand-ins that a settings file configures.
   *
   * @param settings the file
   * @return the running stand-ins
   * @throws SettingsException if the file is invalid
   * @throws IOException if an address cannot be bound
   */
  public static StandIns start(Path settings) throws SettingsException, IOException {
    return new StandIns(StandInsSettings.load(settings));
  }

  /**
   * Returns the port that each stand-in listens on.
   *
   * @return ports by name: {@code log}, {@code vm_list}, {@code store} and the names of endpoints
   */
  public Map<String, Integer> ports() {
    return Collections.unmodifiableMap(ports);
  }

  @Override
  public void close() {
    host.close();
  }

  private void listenAll(StandInsSettings settings) throws IOException {
    if (settings.logAddress.isPresent()) {
      listen("log", settings.logAddress.get(), new LogStandIn(host, settings.log));
    }
    if (settings.vmListAddress.isPresent()) {
      listen(
          "vm_list",
          settings.vmListAddress.get(),
          new VmListStandIn(host, settings.vmListLag, settings.vms));
    }
    StoreStandIn store = new StoreStandIn(host, settings.store);
    if (settings.storeAddress.isPresent()) {
      listen("store", settings.storeAddress.get(), store);
    }
    Optional<WeightSource> remote = settings.storeUrl.map(HttpWeightSource::new);
    WeightSource source = remote.orElse(store);
    AdapterLoadTracker adapters =
        new AdapterLoadTracker(
            settings.adapterLoadMin, settings.adapterLoadMax, settings.adapterLoadsAtOnce);
    for (Map.Entry<EngineOptions, InetSocketAddress> e : settings.engines.entrySet()) {
      EngineStandIn engine = new EngineStandIn(host, e.getKey(), adapters, source);
      listen(e.getKey().name(), e.getValue(), engine);
    }
    for (Map.Entry<ServiceOptions, InetSocketAddress> e : settings.services.entrySet()) {
      listen(e.getKey().name(), e.getValue(), new ServiceStandIn(host, e.getKey()));
    }
  }

  private void listen(String name, InetSocketAddress address, StandIn standIn) throws IOException {
    ports.put(name, host.listen(address, standIn).port());
  }
}
