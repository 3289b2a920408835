package io.kumquatspindle.bench.processes;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Small deployment on the loopback address. The stand-ins run in one process, and each VM runs its
 * own processes.
 */
public final class TestSite implements AutoCloseable {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
  private static final int STAND_INS_HEAP_MB = 512;

  private final SiteOptions options;
  private final boolean startsEntries;
  private final List<SiteVm> vms = new ArrayList<>();
  private final SiteLinks links;
  private ManagedProcess standIns;
  private Map<String, Integer> standInPorts = Map.of();

  private TestSite(SiteOptions options, boolean startsEntries) throws IOException {
    this.options = options;
    this.startsEntries = startsEntries;
    int count = options.domains().size() * options.vmsPerDomain();
    List<SitePorts.VmPorts> ports = SitePorts.allocate(count);
    for (int i = 0; i < count; i++) {
      String domain = options.domains().get(i % options.domains().size());
      VmId id = VmId.of("vm-" + (i + 1));
      FailureDomain fd = FailureDomain.of(domain);
      vms.add(new SiteVm(options.tree(), options.directory(), id, fd, ports.get(i)));
    }
    this.links = new SiteLinks(vms);
  }

  /**
   * Returns a builder for a site.
   *
   * @param tree the build tree with the programs
   * @param directory the directory that settings and output files are written to
   * @return a builder, by default for one failure domain with one VM, one engine and no service
   */
  public static Builder builder(BuildTree tree, Path directory) {
    return new Builder(tree, directory);
  }

  /**
   * Returns the VMs.
   *
   * @return the VMs, which are assigned to the failure domains round-robin
   */
  public List<SiteVm> vms() {
    return List.copyOf(vms);
  }

  public List<FailureDomain> domains() {
    return options.domains().stream().map(FailureDomain::of).toList();
  }

  /**
   * Returns the process that runs all stand-ins.
   *
   * @return the process
   */
  public ManagedProcess standIns() {
    return standIns;
  }

  /**
   * Returns the direct base URL of a stand-in, which does not pass through a relay.
   *
   * @param name {@code log}, {@code vm_list}, {@code store}, {@code engine-N} or {@code service-N}
   * @return the URL
   */
  public URI standInUrl(String name) {
    return URI.create("http://" + SiteSettings.address(standInPorts.get(name)));
  }

  /**
   * Returns the names of the engines.
   *
   * @return {@code engine-1} and so on
   */
  public List<String> engines() {
    return standInPorts.keySet().stream().filter(n -> n.startsWith("engine-")).toList();
  }

  /**
   * Returns the names of the plain service endpoints.
   *
   * @return {@code service-1} and so on
   */
  public List<String> services() {
    return standInPorts.keySet().stream().filter(n -> n.startsWith("service-")).toList();
  }

  /**
   * Returns the failure domain of an endpoint. Endpoints are assigned to the domains round-robin.
   *
   * @param endpoint the name of the endpoint
   * @return the failure domain
   */
  public FailureDomain domainOfEndpoint(String endpoint) {
    int number = Integer.parseInt(endpoint.substring(endpoint.lastIndexOf('-') + 1));
    return domains().get((number - 1) % domains().size());
  }

  /**
   * Returns the directory that settings and output files are written to.
   *
   * @return the directory
   */
  public Path directory() {
    return options.directory();
  }

  /**
   * Returns the links into which network faults can be injected.
   *
   * @return the links, which have no relays unless the site was built with them
   */
  public SiteLinks links() {
    return links;
  }

  /**
   * Stops all processes with SIGTERM: the entry processes first, then the control processes, then
   * the stand-ins.
   *
   * @return the exit status by process name; empty for a process that did not end in time
   */
  public Map<String, OptionalInt> stop() {
    List<List<ManagedProcess>> groups = new ArrayList<>();
    groups.add(vms.stream().map(SiteVm::entry).filter(Objects::nonNull).toList());
    groups.add(vms.stream().map(SiteVm::control).toList());
    groups.add(List.of(standIns));
    Map<String, OptionalInt> result = new LinkedHashMap<>();
    for (List<ManagedProcess> group : groups) {
      group.forEach(ManagedProcess::terminate);
      group.forEach(p -> result.put(p.name(), p.awaitExit(STOP_TIMEOUT)));
    }
    return result;
  }

  /** Kills all processes that are still running, and closes the relays. */
  @Override
  public void close() {
    for (SiteVm vm : vms) {
      closeIfStarted(vm.entry());
      closeIfStarted(vm.control());
    }
    closeIfStarted(standIns);
    links.close();
  }

  private static void closeIfStarted(ManagedProcess p) {
    if (p != null) {
      p.close();
    }
  }

  private void start() throws IOException {
    Files.createDirectories(options.directory());
    startStandIns();
    links.open(options, standInPorts);
    for (SiteVm vm : vms) {
      SiteSettings.PlatformUrls urls = links.platformUrls(vm.domain(), standInPorts);
      SiteSettings.control(options, vm, vms, urls).write(vm.settingsFile("control"));
      SiteSettings.entry(options, vm, vms).write(vm.settingsFile("entry"));
      vm.startControl();
    }
    for (SiteVm vm : vms) {
      if (startsEntries) {
        vm.startEntry();
      }
    }
    for (SiteVm vm : vms) {
      vm.awaitReady();
    }
  }

  private void startStandIns() throws IOException {
    Path file = options.directory().resolve("standins.ini");
    SiteSettings.standIns(options, vms).write(file);
    standIns =
        ManagedProcess.builder("standins", options.directory())
            .jar(options.tree().jar("kumquatspindle-standins"), STAND_INS_HEAP_MB)
            .args("--settings", file.toString())
            .readiness(Readiness.outputContains("\"ready\":true"))
            .start();
    standIns.awaitReady(START_TIMEOUT);
    standInPorts = ReadyLine.parsePorts(Files.readString(standIns.output()));
  }

  /** Builder for test sites. */
  public static final class Builder {
    private final BuildTree tree;
    private final Path directory;
    private List<String> domains = List.of("domain-1");
    private int vmsPerDomain = 1;
    private int engines = 1;
    private int services;
    private boolean platformRelays;
    private boolean peerRelays;
    private boolean startsEntries = true;
    private final Map<String, String> standInSettings = new LinkedHashMap<>();
    private final Map<String, String> entrySettings = new LinkedHashMap<>();
    private final Map<String, String> controlSettings = new LinkedHashMap<>();

    private Builder(BuildTree tree, Path directory) {
      this.tree = tree;
      this.directory = directory;
    }

    /**
     * Sets the failure domains.
     *
     * @param names the names of the failure domains
     * @return this builder
     */
    public Builder domains(String... names) {
      domains = List.of(names);
      return this;
    }

    /**
     * Sets the number of VMs in each failure domain.
     *
     * @param count the number of VMs; 0 to start only the stand-ins
     * @return this builder
     */
    public Builder vmsPerDomain(int count) {
      vmsPerDomain = count;
      return this;
    }

    /**
     * Sets the number of endpoints.
     *
     * @param engineCount the number of engines
     * @param serviceCount the number of plain service endpoints
     * @return this builder
     */
    public Builder endpoints(int engineCount, int serviceCount) {
      engines = engineCount;
      services = serviceCount;
      return this;
    }

    /**
     * Adds a relay between each failure domain and each platform service.
     *
     * @return this builder
     */
    public Builder platformRelays() {
      platformRelays = true;
      return this;
    }

    /**
     * Adds a relay in front of each control process for connections of its peers. The controls
     * advertise the address of the relay, which is set as {@code peers_advertised} in section
     * {@code listen}.
     *
     * @return this builder
     */
    public Builder peerRelays() {
      peerRelays = true;
      return this;
    }

    /**
     * Starts control processes without entry processes.
     *
     * @return this builder
     */
    public Builder controlsOnly() {
      startsEntries = false;
      return this;
    }

    /**
     * Sets a value in the settings of the stand-ins.
     *
     * @param sectionAndKey for example {@code engines.first_token_ms}
     * @param value the value
     * @return this builder
     */
    public Builder standInSetting(String sectionAndKey, Object value) {
      standInSettings.put(sectionAndKey, value.toString());
      return this;
    }

    /**
     * Sets a value in the settings of every entry process.
     *
     * @param sectionAndKey for example {@code stop.balancer_delay_ms}
     * @param value the value
     * @return this builder
     */
    public Builder entrySetting(String sectionAndKey, Object value) {
      entrySettings.put(sectionAndKey, value.toString());
      return this;
    }

    /**
     * Sets a value in the settings of every control process.
     *
     * @param sectionAndKey the section and key, separated by a dot
     * @param value the value
     * @return this builder
     */
    public Builder controlSetting(String sectionAndKey, Object value) {
      controlSettings.put(sectionAndKey, value.toString());
      return this;
    }

    /**
     * Starts the site and waits until every process is ready.
     *
     * @return the running site
     * @throws IOException if a process does not start, in which case all others are killed
     */
    public TestSite start() throws IOException {
      TestSite site =
          new TestSite(
              new SiteOptions(
                  tree,
                  directory,
                  domains,
                  vmsPerDomain,
                  engines,
                  services,
                  platformRelays,
                  peerRelays,
                  standInSettings,
                  entrySettings,
                  controlSettings),
              startsEntries);
      try {
        site.start();
        return site;
      } catch (IOException | RuntimeException e) {
        site.close();
        throw e;
      }
    }
  }
}
