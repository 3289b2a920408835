package io.kumquatspindle.control.admin;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.StatusPage;

/** Supplies the contents of the admin pages. Implementations must be thread-safe. */
public interface AdminPages {

  /**
   * Returns the state of the fleet as known to this VM.
   *
   * @return the page
   */
  StatusPage status();

  /**
   * Explains how requests for a model or adapter are routed.
   *
   * @param model name of a model or adapter
   * @return the page
   */
  ExplainPage explain(String model);
}
