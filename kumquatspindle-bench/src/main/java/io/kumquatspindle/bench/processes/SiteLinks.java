package io.kumquatspindle.bench.processes;

import io.kumquatspindle.api.model.FailureDomain;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The links of a test site that run through relays. */
public final class SiteLinks implements AutoCloseable {
  private static final List<String> PLATFORM = List.of("log", "vm_list", "store");

  private final List<SiteVm> vms;
  private final Map<Platform, Relay> platform = new LinkedHashMap<>();
  private final Map<SiteVm, Relay> peers = new LinkedHashMap<>();

  SiteLinks(List<SiteVm> vms) {
    this.vms = vms;
  }

  /**
   * Returns the relay between a failure domain and a service of the platform.
   *
   * @param domain the failure domain
   * @param service {@code log}, {@code vm_list} or {@code store}
   * @return the relay, or empty if the site was built without
   */
  public Optional<Relay> platform(FailureDomain domain, String service) {
    return Optional.ofNullable(platform.get(new Platform(domain, service)));
  }

  /**
   * Returns the relay in front of a VM's control.
   *
   * @param vm the VM
   * @return the relay, or empty if the site was built without
   */
  public Optional<Relay> peers(SiteVm vm) {
    return Optional.ofNullable(peers.get(vm));
  }

  /**
   * Cuts a failure domain off the platform; links to other failure domains stay.
   *
   * @param domain the failure domain
   */
  public void cutFromPlatform(FailureDomain domain) {
    PLATFORM.forEach(s -> platform(domain, s).ifPresent(Relay::cut));
  }

  /**
   * Stops all data between a failure domain and the other ones, without closing connections.
   *
   * @param domain the failure domain
   */
  public void isolateFromOtherDomains(FailureDomain domain) {
    disturbPeers(domain, Relay::silence);
  }

  /**
   * Stops all data between a failure domain and the other ones and cuts it off the platform.
   *
   * @param domain the failure domain
   */
  public void isolate(FailureDomain domain) {
    cutFromPlatform(domain);
    isolateFromOtherDomains(domain);
  }

  /** Ends all disturbances. */
  public void heal() {
    platform.values().forEach(Relay::pass);
    peers.values().forEach(Relay::pass);
  }

  @Override
  public void close() {
    platform.values().forEach(Relay::close);
    peers.values().forEach(Relay::close);
  }

  void open(SiteOptions o, Map<String, Integer> standInPorts) throws IOException {
    if (o.platformRelays()) {
      for (String domain : o.domains()) {
        for (String service : PLATFORM) {
          Relay r = Relay.to(loopback(standInPorts.get(service)));
          platform.put(new Platform(FailureDomain.of(domain), service), r);
        }
      }
    }
    if (o.peerRelays()) {
      List<String> ids = vms.stream().map(vm -> vm.id().value()).toList();
      for (SiteVm vm : vms) {
        InetSocketAddress target = loopback(vm.ports().peers());
        peers.put(vm, Relay.to(target, vm.ports().peersRelay(), ids));
      }
    }
  }

  SiteSettings.PlatformUrls platformUrls(FailureDomain domain, Map<String, Integer> direct) {
    List<String> urls = new ArrayList<>();
    for (String service : PLATFORM) {
      int port = platform(domain, service).map(Relay::port).orElseGet(() -> direct.get(service));
      urls.add("http://" + SiteSettings.address(port));
    }
    return new SiteSettings.PlatformUrls(urls.get(0), urls.get(1), urls.get(2));
  }

  /** Disturbs the relays of both sides, each for connections that come from the other side. */
  private void disturbPeers(FailureDomain domain, Disturbance d) {
    Set<String> inside = ids(domain, true);
    Set<String> outside = ids(domain, false);
    peers.forEach((vm, relay) -> d.apply(relay, vm.domain().equals(domain) ? outside : inside));
  }

  private Set<String> ids(FailureDomain domain, boolean inside) {
    return vms.stream()
        .filter(vm -> vm.domain().equals(domain) == inside)
        .map(vm -> vm.id().value())
        .collect(Collectors.toSet());
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @FunctionalInterface
  private interface Disturbance {
    void apply(Relay relay, Set<String> sources);
  }

  private record Platform(FailureDomain domain, String service) {}
}
