package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;

/**
 * Assigns names to VMs by rendezvous (highest random weight) hashing: when a VM joins or leaves,
 * only the names that it gains or loses are reassigned.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns the VM that owns a name.
   *
   * @param name the name
   * @param vms the VMs, in any order
   * @return the owner, or empty if there are no VMs
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

  // FNV alone yields similar high bits for similar names, which would skew the distribution towards
  // some VMs.
  private static long mix(long h) {
    long x = (h ^ (h >>> 33)) * 0xff51afd7ed558ccdL;
    x = (x ^ (x >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return x ^ (x >>> 33);
  }
}
