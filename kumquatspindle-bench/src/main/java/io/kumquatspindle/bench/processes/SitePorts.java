package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Ports of the VMs of a site, allocated before any process starts. */
final class SitePorts {
  private static final int PORTS_PER_VM = 5;

  private SitePorts() {}

  /**
   * Ports of one VM.
   *
   * @param callers the entry process, for requests of callers
   * @param entryAdmin the admin pages of the entry process
   * @param peers the control process, for connections of entry and other control processes
   * @param peersRelay the relay in front of {@code peers}, if the site has one
   * @param controlAdmin the admin pages of the control process
   */
  record VmPorts(int callers, int entryAdmin, int peers, int peersRelay, int controlAdmin) {}

  static List<VmPorts> allocate(int vms) throws IOException {
    Iterator<Integer> p = FreePorts.find(vms * PORTS_PER_VM).iterator();
    List<VmPorts> result = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      result.add(new VmPorts(p.next(), p.next(), p.next(), p.next(), p.next()));
    }
    return result;
  }
}
