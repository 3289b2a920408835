package io.kumquatspindle.control.admin;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.StatusPage;

/** Answers questions about state for the admin pages. Safe for use by several threads. */
public interface AdminPages {

  /**
   * Returns what this VM knows of the fleet.
   *
   * @return the page
   */
  StatusPage status();

  /**
   * Explains where requests for a model or adapter go.
   *
   * @param model name of a model or adapter
   * @return the page
   */
  ExplainPage explain(String model);
}
