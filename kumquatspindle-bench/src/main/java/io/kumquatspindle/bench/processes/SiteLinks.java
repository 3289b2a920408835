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

/** Network links of a test site that run through relays, for injecting network faults. */
public final class SiteLinks implements AutoCloseable {
  private static final List<String> PLATFORM_SERVICES = List.of("log", "vm_list", "store");

  private final List<SiteVm> vms;
  private final Map<PlatformLink, Relay> platformRelays = new LinkedHashMap<>();
  private final Map<SiteVm, Relay> peerRelays = new LinkedHashMap<>();

  SiteLinks(List<SiteVm> vms) {
    this.vms = vms;
  }

  /**
   * Returns the relay between a failure domain and a platform service.
   *
   * @param domain the failure domain
   * @param service {@code log}, {@code vm_list} or {@code store}
   * @return the relay, or empty if the site was built without platform relays
   */
  public Optional<Relay> platformRelay(FailureDomain domain, String service) {
    return Optional.ofNullable(platformRelays.get(new PlatformLink(domain, service)));
  }

  /**
   * Returns the relay through which peers connect to the control process of a VM.
   *
   * @param vm the VM
   * @return the relay, or empty if the site was built without peer relays
   */
  public Optional<Relay> peerRelay(SiteVm vm) {
    return Optional.ofNullable(peerRelays.get(vm));
  }

  /**
   * Disconnects a failure domain from the platform; links between failure domains keep working.
   *
   * @param domain the failure domain
   */
  public void cutFromPlatform(FailureDomain domain) {
    PLATFORM_SERVICES.forEach(s -> platformRelay(domain, s).ifPresent(Relay::cut));
  }

  /**
   * Stalls all data between a failure domain and the other ones, without closing connections.
   *
   * @param domain the failure domain
   */
  public void isolateFromOtherDomains(FailureDomain domain) {
    applyPeerFault(domain, Relay::stall);
  }

  /**
   * Disconnects a failure domain from the platform and stalls its links to the other domains.
   *
   * @param domain the failure domain
   */
  public void isolate(FailureDomain domain) {
    cutFromPlatform(domain);
    isolateFromOtherDomains(domain);
  }

  /** Makes all relays forward data again. */
  public void heal() {
    platformRelays.values().forEach(Relay::forward);
    peerRelays.values().forEach(Relay::forward);
  }

  @Override
  public void close() {
    platformRelays.values().forEach(Relay::close);
    peerRelays.values().forEach(Relay::close);
  }

  void open(SiteOptions o, Map<String, Integer> standInPorts) throws IOException {
    if (o.platformRelays()) {
      for (String domain : o.domains()) {
        for (String service : PLATFORM_SERVICES) {
          Relay r = Relay.to(loopback(standInPorts.get(service)));
          platformRelays.put(new PlatformLink(FailureDomain.of(domain), service), r);
        }
      }
    }
    if (o.peerRelays()) {
      List<String> ids = vms.stream().map(vm -> vm.id().value()).toList();
      for (SiteVm vm : vms) {
        InetSocketAddress target = loopback(vm.ports().peers());
        peerRelays.put(vm, Relay.to(target, vm.ports().peersRelay(), ids));
      }
    }
  }

  SiteSettings.PlatformUrls platformUrls(FailureDomain domain, Map<String, Integer> standInPorts) {
    List<String> urls = new ArrayList<>();
    for (String service : PLATFORM_SERVICES) {
      int port =
          platformRelay(domain, service)
              .map(Relay::port)
              .orElseGet(() -> standInPorts.get(service));
      urls.add("http://" + SiteSettings.address(port));
    }
    return new SiteSettings.PlatformUrls(urls.get(0), urls.get(1), urls.get(2));
  }

  /** Applies a fault to the relays on both sides, for connections from the other side only. */
  private void applyPeerFault(FailureDomain domain, PeerFault fault) {
    Set<String> inside = ids(domain, true);
    Set<String> outside = ids(domain, false);
    peerRelays.forEach(
        (vm, relay) -> fault.apply(relay, vm.domain().equals(domain) ? outside : inside));
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
  private interface PeerFault {
    void apply(Relay relay, Set<String> sources);
  }

  private record PlatformLink(FailureDomain domain, String service) {}
}
