package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.model.ExecutionStatus;

/**
 * How a request ended.
 *
 * @param kind {@code ok}, {@code caller_left} or the name of an error kind in lower case
 * @param ran whether an endpoint ran it
 * @param status HTTP status of the endpoint's answer, 0 if there was none
 */
public record Outcome(String kind, ExecutionStatus ran, int status) {
  /** Kind of a request that was answered by an endpoint. */
  public static final String OK = "ok";

  /** Kind of a request whose caller closed the connection. */
  public static final String CALLER_LEFT = "caller_left";
}
