package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * What the head of an endpoint's answer says beside the status.
 *
 * @param requestId identity of the request that it answers, if it says so
 * @param sealed whether it carries the endpoint's proof of origin
 * @param notRun whether it states that the request has not run
 * @param load what the endpoint has to do, if it says so
 */
public record AnswerHead(
    Optional<String> requestId, boolean sealed, boolean notRun, Optional<Load> load) {

  /**
   * What an endpoint has to do.
   *
   * @param running requests that run
   * @param waiting requests that wait
   * @param slots requests that can run at once
   */
  public record Load(int running, int waiting, int slots) {}
}
