package io.kumquatspindle.bench.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks what endpoints saw against the model of customers: an endpoint sees no key, and runs a
 * request only for the customer whose key came with it, on models and services of that customer.
 */
public final class ExposureChecker {
  private final Set<String> keys;
  private final Map<String, Set<String>> allowed;

  /**
   * A request that an endpoint saw.
   *
   * @param endpoint the endpoint
   * @param target the model or service
   * @param requestId the id that the caller put into the request
   * @param everything all that the endpoint saw of the request, as text
   */
  public record Seen(String endpoint, String target, String requestId, String everything) {}

  /**
   * A request as a caller sent it.
   *
   * @param customer the customer whose key came with it
   * @param answeredWhole whether the caller got a whole answer
   */
  public record Sent(String customer, boolean answeredWhole) {}

  /**
   * Creates a checker.
   *
   * @param keys all keys
   * @param allowed models and services that each customer may use
   */
  public ExposureChecker(Set<String> keys, Map<String, Set<String>> allowed) {
    this.keys = Set.copyOf(keys);
    this.allowed = Map.copyOf(allowed);
  }

  /**
   * Checks a run.
   *
   * @param sent the requests of callers, by request id
   * @param seen what endpoints saw
   * @return one sentence for each violation; empty if there is none
   */
  public List<String> violations(Map<String, Sent> sent, List<Seen> seen) {
    List<String> faults = new ArrayList<>();
    Set<String> ran = new HashSet<>();
    for (Seen s : seen) {
      if (keys.stream().anyMatch(s.everything()::contains)) {
        faults.add(s.endpoint() + " saw a key in request " + s.requestId());
      }
      Sent by = sent.get(s.requestId());
      if (by == null) {
        faults.add(s.endpoint() + " saw request " + s.requestId() + ", which nobody sent");
      } else if (!allowed.getOrDefault(by.customer(), Set.of()).contains(s.target())) {
        faults.add(
            s.endpoint() + " ran " + s.requestId() + " of " + by.customer() + " on " + s.target());
      }
      ran.add(s.requestId());
    }
    sent.forEach(
        (id, s) -> {
          if (s.answeredWhole() && !ran.contains(id)) {
            faults.add("request " + id + " was answered, but no endpoint ran it");
          }
        });
    return faults;
  }
}
