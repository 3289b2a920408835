package io.kumquatspindle.bench.processes;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The settings files of a test site. */
final class SiteSettings {
  private static final String ANY_PORT = "127.0.0.1:0";

  private SiteSettings() {}

  static IniText standIns(SiteOptions o, List<SiteVm> vms) {
    IniText ini = new IniText();
    ini.set("log", "listen", ANY_PORT);
    ini.set("vm_list", "listen", ANY_PORT).set("vm_list", "lag_ms", 200);
    ini.set("vm_list", "vms", listedVms(o, vms));
    ini.set("store", "listen", ANY_PORT);
    ini.set("engines", "names", names("engine", o.engines()));
    ini.set("services", "names", names("service", o.services()));
    return ini.setAll(o.standIns());
  }

  static IniText control(SiteOptions o, SiteVm vm, List<SiteVm> vms, PlatformUrls urls) {
    IniText ini = new IniText();
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
    return ini.setAll(o.control());
  }

  /** Entry's own control first, then the other controls of its failure domain. */
  static IniText entry(SiteOptions o, SiteVm vm, List<SiteVm> vms) {
    IniText ini = new IniText();
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
    return ini.setAll(o.entry());
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

  /** Base URLs of the platform as one failure domain reaches it. */
  record PlatformUrls(String log, String vmList, String store) {}
}
