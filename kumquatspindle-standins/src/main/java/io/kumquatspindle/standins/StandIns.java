package io.kumquatspindle.standins;

import io.kumquatspindle.api.settings.SettingsException;
import io.kumquatspindle.standins.endpoint.AdapterLoads;
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

/** The stand-ins of one settings file, listening. */
public final class StandIns implements AutoCloseable {
  private final HttpHost host;
  private final Map<String, Integer> ports = new LinkedHashMap<>();

  private StandIns(StandInsSettings s) throws IOException {
    host = HttpHost.start(s.threads);
    try {
      listenAll(s);
    } catch (IOException e) {
      host.close();
      throw e;
    }
  }

  /**
   * Starts the stand-ins that a settings file names.
   *
   * @param settings the file
   * @return the running stand-ins
   * @throws SettingsException if the file is faulty
   * @throws IOException if an address cannot be bound
   */
  public static StandIns start(Path settings) throws SettingsException, IOException {
    return new StandIns(StandInsSettings.load(settings));
  }

  /**
   * Returns the port of each stand-in.
   *
   * @return ports by name: {@code log}, {@code vm_list}, {@code store} and names of endpoints
   */
  public Map<String, Integer> ports() {
    return Collections.unmodifiableMap(ports);
  }

  @Override
  public void close() {
    host.close();
  }

  private void listenAll(StandInsSettings s) throws IOException {
    if (s.logAddress.isPresent()) {
      listen("log", s.logAddress.get(), new LogStandIn(host, s.log));
    }
    if (s.vmListAddress.isPresent()) {
      listen("vm_list", s.vmListAddress.get(), new VmListStandIn(host, s.vmListLag, s.vms));
    }
    StoreStandIn store = new StoreStandIn(host, s.store);
    if (s.storeAddress.isPresent()) {
      listen("store", s.storeAddress.get(), store);
    }
    Optional<WeightSource> remote = s.storeUrl.map(HttpWeightSource::new);
    WeightSource source = remote.orElse(store);
    AdapterLoads adapters =
        new AdapterLoads(s.adapterShortest, s.adapterLongest, s.adapterLoadsAtOnce);
    for (Map.Entry<EngineOptions, InetSocketAddress> e : s.engines.entrySet()) {
      EngineStandIn engine = new EngineStandIn(host, e.getKey(), adapters, source);
      listen(e.getKey().name(), e.getValue(), engine);
    }
    for (Map.Entry<ServiceOptions, InetSocketAddress> e : s.services.entrySet()) {
      listen(e.getKey().name(), e.getValue(), new ServiceStandIn(host, e.getKey()));
    }
  }

  private void listen(String name, InetSocketAddress address, StandIn standIn) throws IOException {
    ports.put(name, host.listen(address, standIn).port());
  }
}
