package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Ports of the VMs of a site, chosen before anything starts. */
final class SitePorts {
  private static final int PORTS_PER_VM = 5;

  private SitePorts() {}

  /**
   * Ports of one VM.
   *
   * @param callers entry, for callers
   * @param entryAdmin entry, admin pages
   * @param peers control, for entry and other controls
   * @param peersRelay the relay in front of {@code peers}, if the site has one
   * @param controlAdmin control, admin pages
   */
  record VmPorts(int callers, int entryAdmin, int peers, int peersRelay, int controlAdmin) {}

  static List<VmPorts> choose(int vms) throws IOException {
    Iterator<Integer> p = FreePorts.find(vms * PORTS_PER_VM).iterator();
    List<VmPorts> result = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      result.add(new VmPorts(p.next(), p.next(), p.next(), p.next(), p.next()));
    }
    return result;
  }
}
