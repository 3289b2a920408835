package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;

/**
 * Assigns a name to one of several VMs by highest random weight: when a VM comes or goes, only the
 * names that it gains or loses move.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns the VM that a name belongs to.
   *
   * @param name the name
   * @param vms the VMs, in any order
   * @return the VM, or empty if there is none
   */
  public static Optional<VmId> owner(String name, Collection<VmId> vms) {
    VmId best = null;
    long bestWeight = 0;
    for (VmId vm : vms) {
      long w = weight(name, vm);
      int order = best == null ? 1 : Long.compareUnsigned(w, bestWeight);
      if (order > 0 || (order == 0 && vm.compareTo(best) > 0)) {
        best = vm;
        bestWeight = w;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long weight(String name, VmId vm) {
    long h = FNV_OFFSET;
    for (byte b : (name + '\0' + vm.value()).getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(h);
  }

  // FNV alone leaves the high bits of similar names alike, which would favour some VMs.
  private static long mix(long h) {
    long x = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
    x = (x ^ (x >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return x ^ (x >>> 33);
  }
}
