package io.kumquatspindle.cli;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.StatusPage;
import java.util.Optional;

/** Reads admin pages of controls. Calls block; none throws for an outage. */
interface AdminClient {

  /** Reads the status page at an IP address and port. */
  Answer<StatusPage> status(String address);

  /** Reads the explain page of a model at an IP address and port. */
  Answer<ExplainPage> explain(String address, String model);

  /**
   * What a control answered.
   *
   * @param address IP address and port of the control
   * @param page the page, if there is one
   * @param problem why there is no page; empty if there is one
   */
  record Answer<T>(String address, Optional<T> page, String problem) {
    static <T> Answer<T> of(String address, T page) {
      return new Answer<>(address, Optional.of(page), "");
    }

    static <T> Answer<T> none(String address, String problem) {
      return new Answer<>(address, Optional.empty(), problem);
    }
  }
}
