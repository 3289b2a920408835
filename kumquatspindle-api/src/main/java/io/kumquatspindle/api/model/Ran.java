package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Tells whether an endpoint ran a request. */
public enum Ran {
  /** Certain: no endpoint ran the request. */
  @JsonProperty("not_run")
  NOT_RUN("not_run"),
  /** Certain: an endpoint ran the request. */
  @JsonProperty("ran")
  RAN("ran"),
  /** An endpoint may have run the request, in part or as a whole. */
  @JsonProperty("unknown")
  UNKNOWN("unknown");

  private final String code;

  Ran(String code) {
    this.code = code;
  }

  /**
   * Returns the stable code that answers carry.
   *
   * @return the code
   */
  public String code() {
    return code;
  }
}
