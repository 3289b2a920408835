package io.kumquatspindle.bench.processes;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates the settings files of the programs of a test site. */
final class SiteSettings {
  private static final String ANY_PORT = "127.0.0.1:0";

  private SiteSettings() {}

  static IniBuilder standIns(SiteOptions o, List<SiteVm> vms) {
    IniBuilder ini = new IniBuilder();
    ini.set("log", "listen", ANY_PORT);
    ini.set("vm_list", "listen", ANY_PORT).set("vm_list", "lag_ms", 200);
    ini.set("vm_list", "vms", listedVms(o, vms));
    ini.set("store", "listen", ANY_PORT);
    ini.set("engines", "names", names("engine", o.engines()));
    ini.set("services", "names", names("service", o.services()));
    return ini.setAll(o.standInSettings());
  }

  static IniBuilder control(SiteOptions o, SiteVm vm, List<SiteVm> vms, PlatformUrls urls) {
    IniBuilder ini = new IniBuilder();
    ini.set("vm", "id", vm.id()).set("vm", "failure_domain", vm.domain());
    ini.set("listen", "peers", address(vm.ports().peers()));
    ini.set("listen", "admin", address(vm.ports().controlAdmin()));
    if (o.peerRelays()) {
      ini.set("listen", "peers_advertised", address(vm.ports().peersRelay()));
    }
    ini.set("platform", "log_url", urls.log());
    ini.set("platform", "vm_list_url", urls.vmList());
    ini.set("platform", "store_url", urls.store());
    String seeds =
        vms.stream()
            .filter(other -> other != vm)
            .map(other -> peerAddress(o, other))
            .collect(Collectors.joining(", "));
    ini.set("peers", "seed_addresses", seeds);
    return ini.setAll(o.controlSettings());
  }

  /**
   * Returns the settings of an entry process. They list the control of the same VM first, then the
   * other controls of its failure domain, and none of other failure domains.
   */
  static IniBuilder entry(SiteOptions o, SiteVm vm, List<SiteVm> vms) {
    IniBuilder ini = new IniBuilder();
    ini.set("vm", "id", vm.id()).set("vm", "failure_domain", vm.domain());
    ini.set("listen", "callers", address(vm.ports().callers()));
    ini.set("listen", "admin", address(vm.ports().entryAdmin()));
    String others =
        vms.stream()
            .filter(other -> other != vm && other.domain().equals(vm.domain()))
            .map(other -> ", " + address(other.ports().peers()))
            .collect(Collectors.joining());
    ini.set("control", "addresses", address(vm.ports().peers()) + others);
    ini.set("stop", "balancer_delay_ms", 500);
    return ini.setAll(o.entrySettings());
  }

  static String address(int port) {
    return "127.0.0.1:" + port;
  }

  private static String listedVms(SiteOptions o, List<SiteVm> vms) {
    return vms.stream()
        .map(vm -> vm.id() + "@" + vm.domain() + "@" + peerAddress(o, vm))
        .collect(Collectors.joining(", "));
  }

  private static String peerAddress(SiteOptions o, SiteVm vm) {
    return address(o.peerRelays() ? vm.ports().peersRelay() : vm.ports().peers());
  }

  private static String names(String prefix, int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(i -> prefix + "-" + i)
        .collect(Collectors.joining(", "));
  }

  /** Base URLs of the platform services, as seen from one failure domain. */
  record PlatformUrls(String log, String vmList, String store) {}
}
