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

/** A small site on the loopback address: stand-ins and VMs, each in processes of their own. */
public final class TestSite implements AutoCloseable {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);
  private static final int STAND_INS_HEAP_MB = 512;

  private final SiteOptions options;
  private final boolean entries;
  private final List<SiteVm> vms = new ArrayList<>();
  private final SiteLinks links;
  private ManagedProcess standIns;
  private Map<String, Integer> standInPorts = Map.of();

  private TestSite(SiteOptions options, boolean entries) throws IOException {
    this.options = options;
    this.entries = entries;
    int count = options.domains().size() * options.vmsPerDomain();
    List<SitePorts.VmPorts> ports = SitePorts.choose(count);
    for (int i = 0; i < count; i++) {
      String domain = options.domains().get(i % options.domains().size());
      VmId id = VmId.of("vm-" + (i + 1));
      FailureDomain fd = FailureDomain.of(domain);
      vms.add(new SiteVm(options.tree(), options.directory(), id, fd, ports.get(i)));
    }
    this.links = new SiteLinks(vms);
  }

  /**
   * Starts to describe a site.
   *
   * @param tree where the programs were built
   * @param directory where settings and output files are written
   * @return a builder of a site of one failure domain with one VM, one engine and no service
   */
  public static Builder builder(BuildTree tree, Path directory) {
    return new Builder(tree, directory);
  }

  /**
   * Returns the VMs.
   *
   * @return the VMs, dealt to the failure domains in turn
   */
  public List<SiteVm> vms() {
    return List.copyOf(vms);
  }

  /**
   * Returns the failure domains.
   *
   * @return their names
   */
  public List<FailureDomain> domains() {
    return options.domains().stream().map(FailureDomain::of).toList();
  }

  /**
   * Returns the process of the stand-ins.
   *
   * @return the process
   */
  public ManagedProcess standIns() {
    return standIns;
  }

  /**
   * Returns the base URL of a stand-in, without a relay.
   *
   * @param name {@code log}, {@code vm_list}, {@code store}, {@code engine-N} or {@code service-N}
   * @return the URL
   */
  public URI url(String name) {
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
   * Returns the failure domain of an endpoint; endpoints are dealt to the domains in turn.
   *
   * @param endpoint the endpoint's name
   * @return its failure domain
   */
  public FailureDomain domainOf(String endpoint) {
    int number = Integer.parseInt(endpoint.substring(endpoint.lastIndexOf('-') + 1));
    return domains().get((number - 1) % domains().size());
  }

  /**
   * Returns the directory with settings and output files.
   *
   * @return the directory
   */
  public Path directory() {
    return options.directory();
  }

  /**
   * Returns the links that can be disturbed.
   *
   * @return the links; empty unless the site was built with relays
   */
  public SiteLinks links() {
    return links;
  }

  /**
   * Sends SIGTERM to every process, first to entries, then to controls, then to the stand-ins.
   *
   * @return exit status by process name; empty for a process that did not end in time
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

  /** Kills whatever still runs. */
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
      SiteSettings.control(options, vm, vms, urls).write(vm.settings("control"));
      SiteSettings.entry(options, vm, vms).write(vm.settings("entry"));
      vm.startControl();
    }
    for (SiteVm vm : vms) {
      if (entries) {
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
            .readiness(Readiness.line("\"ready\":true"))
            .start();
    standIns.awaitReady(START_TIMEOUT);
    standInPorts = ReadyLine.ports(Files.readString(standIns.output()));
  }

  /** Describes a site. */
  public static final class Builder {
    private final BuildTree tree;
    private final Path directory;
    private List<String> domains = List.of("domain-1");
    private int vmsPerDomain = 1;
    private int engines = 1;
    private int services;
    private boolean platformRelays;
    private boolean peerRelays;
    private boolean entries = true;
    private final Map<String, String> standIns = new LinkedHashMap<>();
    private final Map<String, String> entry = new LinkedHashMap<>();
    private final Map<String, String> control = new LinkedHashMap<>();

    private Builder(BuildTree tree, Path directory) {
      this.tree = tree;
      this.directory = directory;
    }

    /**
     * Sets the failure domains.
     *
     * @param names their names
     * @return this builder
     */
    public Builder domains(String... names) {
      domains = List.of(names);
      return this;
    }

    /**
     * Sets the number of VMs of each failure domain.
     *
     * @param count number of VMs; 0 for stand-ins only
     * @return this builder
     */
    public Builder vmsPerDomain(int count) {
      vmsPerDomain = count;
      return this;
    }

    /**
     * Sets the number of endpoints.
     *
     * @param engineCount number of engines
     * @param serviceCount number of plain service endpoints
     * @return this builder
     */
    public Builder endpoints(int engineCount, int serviceCount) {
      engines = engineCount;
      services = serviceCount;
      return this;
    }

    /**
     * Puts a relay between each failure domain and each service of the platform.
     *
     * @return this builder
     */
    public Builder platformRelays() {
      platformRelays = true;
      return this;
    }

    /**
     * Puts a relay in front of each control, for its peers. Controls must announce the relay's
     * address, which they are given as {@code peers_advertised} in section {@code listen}.
     *
     * @return this builder
     */
    public Builder peerRelays() {
      peerRelays = true;
      return this;
    }

    /**
     * Starts no entry programs.
     *
     * @return this builder
     */
    public Builder controlsOnly() {
      entries = false;
      return this;
    }

    /**
     * Sets a value of the stand-ins' settings.
     *
     * @param sectionAndKey for example {@code engines.first_token_ms}
     * @param value the value
     * @return this builder
     */
    public Builder standIns(String sectionAndKey, Object value) {
      standIns.put(sectionAndKey, value.toString());
      return this;
    }

    /**
     * Sets a value of the settings of every entry.
     *
     * @param sectionAndKey for example {@code stop.balancer_delay_ms}
     * @param value the value
     * @return this builder
     */
    public Builder entry(String sectionAndKey, Object value) {
      entry.put(sectionAndKey, value.toString());
      return this;
    }

    /**
     * Sets a value of the settings of every control.
     *
     * @param sectionAndKey section, a dot, and the key
     * @param value the value
     * @return this builder
     */
    public Builder control(String sectionAndKey, Object value) {
      control.put(sectionAndKey, value.toString());
      return this;
    }

    /**
     * Starts the site and waits until every process is ready.
     *
     * @return the running site
     * @throws IOException if a process does not start; then none is left running
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
                  standIns,
                  entry,
                  control),
              entries);
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
