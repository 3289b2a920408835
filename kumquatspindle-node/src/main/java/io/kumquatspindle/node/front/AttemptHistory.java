package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.RouteSpec;
import io.kumquatspindle.api.model.ExecutionStatus;
import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of one request so far. They determine whether it may be sent again, and whether a
 * response may claim that it has not run.
 */
final class AttemptHistory {
  /** Number of failed connects after which a request is given up. */
  private static final int MAX_UNREACHABLE_ENDPOINTS = 4;

  private final Set<String> tried = new HashSet<>();
  private final Set<String> full = new HashSet<>();
  private int sendCount;
  private int unreachableCount;
  private int failedRuns;
  private boolean inProgress;
  private boolean mayHaveRun;

  /** Returns the ids of the endpoints that are not to be tried again. */
  Set<String> tried() {
    return tried;
  }

  int sendCount() {
    return sendCount;
  }

  void started(String endpoint) {
    sendCount++;
    tried.add(endpoint);
  }

  /** Records that an endpoint is not to be tried, although nothing has been sent to it. */
  void skip(String endpoint) {
    tried.add(endpoint);
  }

  void sent() {
    inProgress = true;
  }

  /** Records a failed connect, and returns whether to try another endpoint. */
  boolean unreachable() {
    return ++unreachableCount < MAX_UNREACHABLE_ENDPOINTS;
  }

  void notRun() {
    inProgress = false;
  }

  /** Records that an endpoint rejected the request while all its slots were taken. */
  void rejectedAsFull(String endpoint) {
    full.add(endpoint);
  }

  /** Returns whether an endpoint that is not to be tried again has rejected it as it was full. */
  boolean anyFull() {
    return !full.isEmpty();
  }

  /** Returns whether an endpoint that is not to be tried again has rejected it as it was full. */
  boolean rejectedAsFullBy(String endpoint) {
    return full.contains(endpoint);
  }

  /** Allows an endpoint that was full to be tried again. */
  void forgetFull(String endpoint) {
    tried.remove(endpoint);
    full.remove(endpoint);
  }

  /** Allows the endpoints that were full to be tried again. */
  void forgetFull() {
    tried.removeAll(full);
    full.clear();
  }

  /** Records that an endpoint failed the request, or gave no usable response. */
  void failed() {
    inProgress = false;
    mayHaveRun = true;
    failedRuns++;
  }

  /** Records that a kept connection was lost; the request may be sent to the endpoint again. */
  void connectionLost(String endpoint) {
    inProgress = false;
    mayHaveRun = true;
    tried.remove(endpoint);
  }

  /** Returns whether an endpoint has run the request or may be running it. */
  private boolean mayHaveRun() {
    return mayHaveRun || inProgress;
  }

  /** Returns the error to report: a request that may have run is never said not to have run. */
  ErrorKind honest(ErrorKind reason) {
    if (!mayHaveRun() || reason.executionStatus() != ExecutionStatus.NOT_RUN) {
      return reason;
    }
    return reason == ErrorKind.DEADLINE_TOO_SHORT
        ? ErrorKind.DEADLINE_EXCEEDED_RUNNING
        : ErrorKind.ENDPOINT_FAILED;
  }

  /** Returns whether the request may be sent to another endpoint if the current attempt fails. */
  boolean mayRetry(RouteSpec route) {
    return (route.repeatable() || route.resumable()) && failedRuns + 1 < route.maxAttempts();
  }

  /** Allows all endpoints to be tried again, since they may hold the model by now. */
  void clearTried() {
    tried.clear();
  }

  /** Allows an endpoint to be tried again, once it holds the model. */
  void forget(String endpoint) {
    tried.remove(endpoint);
  }
}
