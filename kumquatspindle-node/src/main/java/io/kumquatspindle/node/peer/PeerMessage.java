package io.kumquatspindle.node.peer;

import java.util.Map;
import java.util.Set;

/** A message between two VMs. */
public sealed interface PeerMessage {

  /**
   * Returns the name of the kind of message, for logs and metrics.
   *
   * @return name in lower case
   */
  default String label() {
    return getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
  }

  /**
   * What a VM tells all others several times a second.
   *
   * @param process random identity of the sender's process
   * @param address the sender's address for peers
   * @param domain the sender's failure domain
   * @param configuration version of the sender's configuration; 0 if it has none
   * @param deaf whether the sender has not heard the receiver lately
   * @param consumed consumption of customers by the sender since its start
   * @param models requests for models that the sender has read since its last digest
   * @param running requests of the sender in progress, by endpoint, model and adapter
   * @param queued loads that wait at endpoints which the sender orders: time to load in ms, by
   *     endpoint and model
   * @param fence fencing number of the sender's orders
   * @param partitions partitions of its failure domain's endpoints that the sender holds
   * @param heard number of VMs that the sender hears, itself included
   */
  record Digest(
      long process,
      String address,
      String domain,
      long configuration,
      boolean deaf,
      Map<String, Double> consumed,
      Map<String, Long> models,
      Map<String, Integer> running,
      Map<String, Integer> queued,
      long fence,
      Set<Integer> partitions,
      int heard)
      implements PeerMessage {}

  /**
   * VMs that the sender hears, for a receiver that hears fewer.
   *
   * @param addresses their addresses for peers
   */
  record Known(Set<String> addresses) implements PeerMessage {}

  /**
   * A model or an adapter is wanted at an endpoint that the receiver orders.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param goalInMs time from now until the first caller should be served, in ms; negative if past
   */
  record Want(String endpoint, String model, String adapter, long goalInMs)
      implements PeerMessage {}

  /**
   * What the sender, who orders an endpoint, has changed there.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param kind what changed
   * @param fromStore whether a load comes from the weight store
   * @param forMs time that a load is expected to take, in ms
   */
  record Changed(
      String endpoint, String model, String adapter, Kind kind, boolean fromStore, long forMs)
      implements PeerMessage {

    /** What changed. */
    public enum Kind {
      /** A load has begun. */
      LOADING,
      /** It is there. */
      LOADED,
      /** It is gone. */
      EVICTED
    }
  }
}
