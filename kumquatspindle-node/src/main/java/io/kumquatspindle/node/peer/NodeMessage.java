package io.kumquatspindle.node.peer;

import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.EndpointSpeeds;
import io.kumquatspindle.engine.fleet.MemoryGrants;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.node.port.RecordStore;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** A message between two VMs. */
public sealed interface NodeMessage {

  /**
   * Returns the name of the message's kind, for logs and metrics.
   *
   * @return name in lower case
   */
  default String label() {
    return getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
  }

  /**
   * State that a VM sends to its peers at regular intervals.
   *
   * @param process random id of the sender's process
   * @param address the sender's peer address
   * @param domain the sender's failure domain
   * @param configuration version of the sender's configuration; 0 if it has none
   * @param deaf whether the sender has stopped receiving digests from the receiver
   * @param consumed consumption by customer at the sender since its start
   * @param models number of requests by model that the sender has read since its last digest
   * @param running number of the sender's requests in progress, by endpoint, model and adapter
   * @param queued loads that are queued at endpoints which the sender holds: load time in ms, by
   *     endpoint and model
   * @param fence fencing number of the sender's orders
   * @param partitions partitions of its failure domain's endpoints that the sender holds
   * @param heard number of VMs that are reachable for the sender, itself included
   * @param crashes evidence for the parts of prompts that the sender has quarantined, by crash
   * @param vouched parts of prompts that are sound although a VM suspects them
   * @param limits limits of the endpoints that the sender holds
   * @param loads loads in progress at the endpoints that the sender holds
   * @param tokens tokens of the sender's requests in progress, by endpoint, without large requests
   * @param speeds how long work takes by the sender's measurements, by endpoint
   * @param prompts beginnings of prompts that the sender's requests have used lately
   * @param sharesReads whether the sender understands a {@link TopicUpdate}
   * @param grants memory that the sender has been granted for large requests; empty if it does not
   *     understand a {@link MemoryRequest}
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
      int heard,
      Map<String, PromptQuarantine.Evidence> crashes,
      Set<String> vouched,
      Set<Limit> limits,
      List<ActiveLoads.Report> loads,
      Map<String, Long> tokens,
      Map<String, EndpointSpeeds.Report> speeds,
      List<PromptCacheIndex.Report> prompts,
      boolean sharesReads,
      Optional<List<MemoryGrants.Report>> grants)
      implements NodeMessage {}

  /**
   * What an endpoint has said about the requests that it accepts.
   *
   * @param endpoint identity of the endpoint and its start
   * @param perS requests a second from all VMs together, or empty if there is no limit any more
   * @param ageMs time since a VM received that, in ms
   */
  record Limit(String endpoint, OptionalDouble perS, long ageMs) implements NodeMessage {}

  /**
   * A VM wants to send a request to an endpoint with a limit, which the receiver holds.
   *
   * @param address the sender's peer address
   * @param number number of this message at the sender
   * @param limit the limit of the endpoint, as the sender knows it
   * @param maxWaitMs longest time for which the request can wait, in ms
   */
  record PermitRequest(String address, long number, Limit limit, long maxWaitMs)
      implements NodeMessage {}

  /**
   * The decision about a {@link PermitRequest}.
   *
   * @param number number of the permit request
   * @param result the decision
   * @param delayMs time after which the request may be sent, or its caller should return, in ms
   */
  record PermitReply(long number, Result result, long delayMs) implements NodeMessage {
    /** A decision. */
    public enum Result {
      /** The request may be sent. */
      GRANTED,
      /** The request is rejected. */
      REJECTED,
      /** The sender does not hold the endpoint. */
      NOT_HOLDER
    }
  }

  /**
   * A VM wants to send a large request to an engine, which the receiver holds.
   *
   * @param address the sender's peer address
   * @param number number of the grant at the sender
   * @param endpoint identity of the endpoint and its start
   * @param tokens memory that the request may need
   * @param deadlineInMs time from now until the deadline of the request, in ms
   */
  record MemoryRequest(String address, long number, String endpoint, long tokens, long deadlineInMs)
      implements NodeMessage {}

  /**
   * The decision about a {@link MemoryRequest}.
   *
   * @param number number of the grant
   * @param result the decision
   */
  record MemoryReply(long number, Result result) implements NodeMessage {
    /** A decision. */
    public enum Result {
      /** The request may be sent. */
      GRANTED,
      /** The engine has no memory for the request. */
      REJECTED,
      /** The sender does not hold the endpoint, or does not know yet what is in use there. */
      NOT_HOLDER
    }
  }

  /**
   * The sender no longer needs a grant, or did not get the decision in time.
   *
   * @param address the sender's peer address
   * @param number number of the grant at the sender
   */
  record MemoryReturn(String address, long number) implements NodeMessage {}

  /**
   * What the sender has read of a topic of the store, for VMs that rely on its reads.
   *
   * @param reader the sender's peer address
   * @param topic the topic
   * @param era era of the store to which the offsets belong; 0 if it is not known
   * @param from offset of the first record
   * @param next offset after the last record; the same as {@code from} if the records are not sent
   * @param end end offset of the topic when the store answered
   * @param outageMs how long the store had not responded before, in ms; 0 if it had
   * @param records the records
   */
  record TopicUpdate(
      String reader,
      RecordStore.Topic topic,
      long era,
      long from,
      long next,
      long end,
      long outageMs,
      List<RecordStore.KeyedRecord> records)
      implements NodeMessage {}

  /**
   * VMs that are reachable for the sender, sent to a receiver that reaches fewer.
   *
   * @param addresses their peer addresses
   */
  record Known(Set<String> addresses) implements NodeMessage {}

  /**
   * An endpoint broke off the response to a request of the sender right after its beginning.
   *
   * @param endpoint identity of the endpoint and its start
   * @param parts parts of the request's prompt that are not known to be sound
   */
  record Crash(String endpoint, Set<String> parts) implements NodeMessage {}

  /**
   * A request to load a model or an adapter at an endpoint that the receiver holds.
   *
   * @param endpoint identity of the endpoint
   * @param model name of the model
   * @param adapter name of the adapter, or empty text
   * @param goalInMs time from now until the first caller should be served, in ms; negative if past
   * @param assigned whether the sender assigns the loads from the weight store, and has chosen this
   *     one
   * @param restricted whether it is for requests that replicas in other regions may not serve
   */
  record Want(
      String endpoint,
      String model,
      String adapter,
      long goalInMs,
      boolean assigned,
      boolean restricted)
      implements NodeMessage {

    /**
     * Creates a request for requests that any replica may serve.
     *
     * @param endpoint identity of the endpoint
     * @param model name of the model
     * @param adapter name of the adapter, or empty text
     * @param goalInMs time from now until the first caller should be served, in ms
     * @param assigned whether the sender assigns the loads from the weight store
     */
    public Want(String endpoint, String model, String adapter, long goalInMs, boolean assigned) {
      this(endpoint, model, adapter, goalInMs, assigned, false);
    }
  }

  /**
   * A change that the sender has made at an endpoint that it holds.
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
      implements NodeMessage {

    /** Kind of change to a model or an adapter. */
    public enum Kind {
      /** Its load has begun. */
      LOADING,
      /** The endpoint holds it. */
      LOADED,
      /** The endpoint no longer holds it, or is about to evict it. */
      EVICTED
    }
  }
}
