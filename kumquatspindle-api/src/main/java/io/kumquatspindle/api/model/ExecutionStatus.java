package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether an endpoint executed a request. */
public enum ExecutionStatus {
  /** No endpoint executed the request; this is certain. */
  @JsonProperty("not_run")
  NOT_RUN("not_run"),
  /** An endpoint executed the request; this is certain. */
  @JsonProperty("ran")
  RAN("ran"),
  /** An endpoint may have executed the request, partly or completely. */
  @JsonProperty("unknown")
  UNKNOWN("unknown");

  private final String code;

  ExecutionStatus(String code) {
    this.code = code;
  }

  /**
   * Returns the stable code used in responses.
   *
   * @return the code
   */
  public String code() {
    return code;
  }
}
