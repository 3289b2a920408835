package io.kumquatspindle.cli;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.StatusPage;
import java.util.Optional;

/**
 * Client of the admin pages of controls. Calls block. For an unreachable control they return a
 * result without a page instead of throwing an exception.
 */
interface AdminClient {

  /** Reads the status page at an IP address and port. */
  PageResult<StatusPage> status(String address);

  /** Reads the explain page of a model at an IP address and port. */
  PageResult<ExplainPage> explain(String address, String model);

  /**
   * The page that a control returned, or the reason why there is none.
   *
   * @param address IP address and port of the control
   * @param page the page, empty if the call failed
   * @param problem why the call failed; an empty string if there is a page
   */
  record PageResult<T>(String address, Optional<T> page, String problem) {
    static <T> PageResult<T> success(String address, T page) {
      return new PageResult<>(address, Optional.of(page), "");
    }

    static <T> PageResult<T> failure(String address, String problem) {
      return new PageResult<>(address, Optional.empty(), problem);
    }
  }
}
