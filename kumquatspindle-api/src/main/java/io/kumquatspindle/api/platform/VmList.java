package io.kumquatspindle.api.platform;

import java.util.List;
import java.util.Optional;

/** The platform's list of live and leaving VMs, which lags behind the actual state. */
public interface VmList {

  /**
   * Reads the list.
   *
   * @return the VMs, or empty if the list cannot be read
   */
  Optional<List<ListedVm>> read();
}
