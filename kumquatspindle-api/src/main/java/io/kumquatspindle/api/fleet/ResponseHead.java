package io.kumquatspindle.api.fleet;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The properties of an endpoint response that are read from its headers.
 *
 * @param requestId id of the request that it responds to, if present
 * @param authenticated whether it carries proof that it originates from the endpoint
 * @param notRun whether it states that the request was not executed
 * @param load the current load of the endpoint, if present
 * @param leaving whether the endpoint states that it is about to leave
 * @param retryAfterMs time for which the endpoint wants no requests of this VM, in ms, if stated
 * @param limitPerS requests a second that the endpoint accepts from all VMs together, if stated
 * @param limitUnreadable whether a limit is stated that is no rate
 */
public record ResponseHead(
    Optional<String> requestId,
    boolean authenticated,
    boolean notRun,
    Optional<Load> load,
    boolean leaving,
    OptionalLong retryAfterMs,
    OptionalDouble limitPerS,
    boolean limitUnreadable) {

  /**
   * The current load of an endpoint.
   *
   * @param running number of requests in progress
   * @param waiting number of queued requests
   * @param slots maximum number of concurrent requests
   * @param workTimePercent how long work takes on the endpoint's machine at the moment, in percent
   *     of the usual time, if stated; it changes many times a second
   */
  public record Load(int running, int waiting, int slots, OptionalInt workTimePercent) {}
}
