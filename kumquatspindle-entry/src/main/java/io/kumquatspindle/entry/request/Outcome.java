package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.model.ExecutionStatus;

/**
 * The outcome of a request.
 *
 * @param kind {@code ok}, {@code caller_left} or the name of an error kind in lower case
 * @param ran whether an endpoint executed it
 * @param status HTTP status of the endpoint's response; 0 if there was none
 */
public record Outcome(String kind, ExecutionStatus ran, int status) {
  /** Kind of a request that got a response from an endpoint. */
  public static final String OK = "ok";

  /** Kind of a request whose caller closed the connection. */
  public static final String CALLER_LEFT = "caller_left";
}
