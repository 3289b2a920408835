package io.kumquatspindle.bench.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("Test site")
class TestSiteTests {
  @TempDir Path dir;

  @Test
  @DisplayName("starts stand-ins and disconnects only the given failure domain from the platform")
  void cutsPlatform() throws Exception {
    try (TestSite site =
        TestSite.builder(BuildTree.current(), dir)
            .domains("a", "b")
            .vmsPerDomain(0)
            .endpoints(2, 1)
            .platformRelays()
            .start()) {
      assertEquals(List.of("engine-1", "engine-2"), site.engines());
      assertEquals(FailureDomain.of("b"), site.domainOfEndpoint("engine-2"));
      site.links().cutFromPlatform(FailureDomain.of("a"));
      assertFalse(isPlatformReachable(site, "a"));
      assertTrue(isPlatformReachable(site, "b"));
      site.links().heal();
      assertTrue(isPlatformReachable(site, "a"));
      assertEquals(0, site.stop().get("standins").orElse(-1));
    }
  }

  private static boolean isPlatformReachable(TestSite site, String domain) throws Exception {
    int port = site.links().platformRelay(FailureDomain.of(domain), "log").orElseThrow().port();
    URI page = URI.create("http://127.0.0.1:" + port + "/stats");
    return Readiness.healthPage(page).check(site.standIns());
  }

  @Test
  @DisplayName("lists an entry's own control first, then the others in its failure domain only")
  void entrySettings() throws Exception {
    SitePorts.VmPorts ports = new SitePorts.VmPorts(1, 2, 3, 4, 5);
    SitePorts.VmPorts otherPorts = new SitePorts.VmPorts(11, 12, 13, 14, 15);
    SiteVm vm = vm("vm-1", "a", ports);
    List<SiteVm> all = List.of(vm, vm("vm-2", "b", ports), vm("vm-3", "a", otherPorts));
    SiteOptions o = options(Map.of("stop.balancer_delay_ms", "7"));
    String expected =
        "[vm]\nid = vm-1\nfailure_domain = a\n"
            + "[listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"
            + "[control]\naddresses = 127.0.0.1:3, 127.0.0.1:13\n"
            + "[stop]\nbalancer_delay_ms = 7\n";
    assertEquals(expected, SiteSettings.entry(o, vm, all).toString());
  }

  @Test
  @DisplayName("configures a control with the relay addresses of its peers")
  void controlSettings() throws Exception {
    SiteVm vm = vm("vm-1", "a", new SitePorts.VmPorts(1, 2, 3, 4, 5));
    SiteVm other = vm("vm-2", "b", new SitePorts.VmPorts(11, 12, 13, 14, 15));
    SiteSettings.PlatformUrls urls = new SiteSettings.PlatformUrls("l", "v", "s");
    String expected =
        "[vm]\nid = vm-1\nfailure_domain = a\n"
            + "[listen]\npeers = 127.0.0.1:3\nadmin = 127.0.0.1:5\n"
            + "peers_advertised = 127.0.0.1:4\n"
            + "[platform]\nlog_url = l\nvm_list_url = v\nstore_url = s\n"
            + "[peers]\nseed_addresses = 127.0.0.1:14\n";
    SiteOptions o = options(Map.of());
    assertEquals(expected, SiteSettings.control(o, vm, List.of(vm, other), urls).toString());
  }

  private SiteVm vm(String id, String domain, SitePorts.VmPorts ports) {
    return new SiteVm(BuildTree.current(), dir, VmId.of(id), FailureDomain.of(domain), ports);
  }

  private SiteOptions options(Map<String, String> entry) {
    List<String> domains = List.of("a", "b");
    return new SiteOptions(
        BuildTree.current(), dir, domains, 1, 1, 0, false, true, Map.of(), entry, Map.of());
  }
}
