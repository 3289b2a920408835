package io.kumquatspindle.engine.membership;

import io.kumquatspindle.api.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Assigns names to VMs by the highest hash of name and VM. All VMs with the same list choose the
 * same owner, and a VM that leaves moves only the names that it owned.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns the owner of a name.
   *
   * @param name the name
   * @param vms the VMs to choose from, in any order
   * @return the owner, or empty if there are no VMs
   */
  public static Optional<VmId> owner(String name, Collection<VmId> vms) {
    return vms.stream().max(order(name));
  }

  /**
   * Orders VMs by their claim to a name.
   *
   * @param name the name
   * @param vms the VMs, in any order
   * @return the VMs, the owner first
   */
  public static List<VmId> ranked(String name, Collection<VmId> vms) {
    return vms.stream().sorted(order(name).reversed()).toList();
  }

  private static Comparator<VmId> order(String name) {
    return Comparator.comparing((VmId vm) -> hash(name, vm), Long::compareUnsigned)
        .thenComparing(Comparator.naturalOrder());
  }

  private static long hash(String name, VmId vm) {
    long h = FNV_OFFSET;
    // The separator cannot occur in names, so different pairs give different texts.
    for (byte b : (name + '\n' + vm.value()).getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    // Names often differ in the last character only, which FNV spreads to few of the high bits.
    h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
    h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
    return h ^ (h >>> 31);
  }
}
