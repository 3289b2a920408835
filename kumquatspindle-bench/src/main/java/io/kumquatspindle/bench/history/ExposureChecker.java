package io.kumquatspindle.bench.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the requests that endpoints received for isolation between customers: no endpoint receives
 * an API key, and every request runs only on models and services that its customer may use.
 */
public final class ExposureChecker {
  private final Set<String> keys;
  private final Map<String, Set<String>> allowedTargets;

  /**
   * A request as an endpoint received it.
   *
   * @param endpoint the name of the endpoint
   * @param target the model or service
   * @param requestId the id that the caller put into the request
   * @param content everything that the endpoint received of the request, as text
   */
  public record ReceivedRequest(String endpoint, String target, String requestId, String content) {}

  /**
   * A request as a caller sent it.
   *
   * @param customer the customer whose key authenticated it
   * @param completed whether the caller received a complete response
   */
  public record SentRequest(String customer, boolean completed) {}

  /**
   * Creates a checker.
   *
   * @param keys the keys of all customers
   * @param allowedTargets the models and services that each customer may use, by customer
   */
  public ExposureChecker(Set<String> keys, Map<String, Set<String>> allowedTargets) {
    this.keys = Set.copyOf(keys);
    this.allowedTargets = Map.copyOf(allowedTargets);
  }

  /**
   * Returns the violations in a run.
   *
   * @param sent the requests that callers sent, by request id
   * @param received the requests that endpoints received
   * @return one message per violation; empty if there is none
   */
  public List<String> violations(Map<String, SentRequest> sent, List<ReceivedRequest> received) {
    List<String> violations = new ArrayList<>();
    Set<String> executed = new HashSet<>();
    for (ReceivedRequest request : received) {
      if (keys.stream().anyMatch(request.content()::contains)) {
        violations.add(request.endpoint() + " saw a key in request " + request.requestId());
      }
      SentRequest origin = sent.get(request.requestId());
      if (origin == null) {
        violations.add(
            request.endpoint() + " saw request " + request.requestId() + ", which nobody sent");
      } else if (!allowedTargets
          .getOrDefault(origin.customer(), Set.of())
          .contains(request.target())) {
        violations.add(
            request.endpoint()
                + " ran "
                + request.requestId()
                + " of "
                + origin.customer()
                + " on "
                + request.target());
      }
      executed.add(request.requestId());
    }
    sent.forEach(
        (id, request) -> {
          if (request.completed() && !executed.contains(id)) {
            violations.add("request " + id + " was answered, but no endpoint ran it");
          }
        });
    return violations;
  }
}
