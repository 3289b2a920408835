package io.kumquatspindle.api.message;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.Ran;
import io.kumquatspindle.api.model.VmId;
import java.util.List;

/** Messages between an entry program and a control program. */
public sealed interface EntryMessage extends Message {

  /**
   * First message of an entry program on a connection.
   *
   * @param vm the VM of the entry program
   * @param incarnation changes each time the entry program starts
   * @param protocol version of the protocol
   */
  record EntryHello(VmId vm, String incarnation, int protocol) implements EntryMessage {
    /** Version of the protocol that this build speaks. */
    public static final int PROTOCOL = 1;
  }

  /**
   * The whole configuration, sent after the hello and after each accepted ticket.
   *
   * @param ticketsOffset next offset of the tickets stream that has not been applied
   * @param confirmedAgoMs time since the control was last confirmed up to date, in milliseconds
   * @param configuration the configuration
   */
  record ConfigUpdate(long ticketsOffset, long confirmedAgoMs, Configuration configuration)
      implements EntryMessage {}

  /**
   * How recently the configuration was confirmed, sent each second.
   *
   * @param ticketsOffset next offset of the tickets stream that has not been applied
   * @param confirmedAgoMs time since the control was last confirmed up to date, in milliseconds
   */
  record Freshness(long ticketsOffset, long confirmedAgoMs) implements EntryMessage {}

  /** State of a replica, as far as requests are concerned. */
  enum ReplicaState {
    /** Loading; requests wait. */
    LOADING,
    /** Takes requests. */
    READY,
    /** About to be unloaded; takes no new requests. */
    DRAINING
  }

  /**
   * A replica of a model or adapter.
   *
   * @param endpoint where it is
   * @param artifact the model or adapter
   * @param state whether it takes requests
   * @param expectedReadyMs expected time until it takes requests, in milliseconds; 0 if it does
   */
  record Replica(
      EndpointName endpoint, ArtifactName artifact, ReplicaState state, long expectedReadyMs) {}

  /**
   * All replicas, sent on change and each 5 s.
   *
   * @param replicas the replicas
   */
  record PlacementUpdate(List<Replica> replicas) implements EntryMessage {}

  /**
   * Load of an endpoint.
   *
   * @param endpoint the endpoint
   * @param running requests that run
   * @param waiting requests that wait at the endpoint
   * @param capacity requests that it runs at once at full speed
   * @param leaving whether it gets no new work
   * @param ageMs age of the report, in milliseconds
   */
  record EndpointLoad(
      EndpointName endpoint, int running, int waiting, int capacity, boolean leaving, long ageMs) {}

  /**
   * Load of endpoints, sent each 500 ms.
   *
   * @param loads one element for each endpoint that has reported
   */
  record EndpointLoads(List<EndpointLoad> loads) implements EntryMessage {}

  /**
   * Requests wait for a model or adapter that has no ready replica.
   *
   * @param artifact the model or adapter
   * @param customer customer of the request with the earliest deadline
   * @param waiting number of requests that wait
   * @param earliestDeadlineMs time until the earliest deadline, in milliseconds
   */
  record ModelWanted(
      ArtifactName artifact, CustomerName customer, int waiting, long earliestDeadlineMs)
      implements EntryMessage {}

  /** What becomes of a wanted model. */
  enum Outlook {
    /** A load is decided or in progress. */
    EXPECTED,
    /** The decision waits for memory or for the weight store. */
    QUEUED,
    /** No load is possible now. */
    REFUSED
  }

  /**
   * Answer to {@link ModelWanted}.
   *
   * @param artifact the model or adapter
   * @param outlook what becomes of it
   * @param expectedReadyMs expected time until a replica is ready, in milliseconds
   * @param reason why it waits or is refused; empty otherwise
   */
  record ModelOutlook(ArtifactName artifact, Outlook outlook, long expectedReadyMs, String reason)
      implements EntryMessage {}

  /**
   * Asks control for tokens of a customer.
   *
   * @param id number of the request, unique within the entry program's incarnation
   * @param customer the customer
   * @param tokens tokens wanted
   */
  record TokenRequest(long id, CustomerName customer, long tokens) implements EntryMessage {}

  /**
   * Gives tokens to entry; the sender has subtracted them.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens given, 0 if none
   * @param retryAfterMs when more are expected, in milliseconds
   */
  record TokenGrant(long id, CustomerName customer, long tokens, long retryAfterMs)
      implements EntryMessage {}

  /**
   * Gives unused tokens back to control, or reports a debt as a negative number.
   *
   * @param customer the customer
   * @param tokens tokens given back
   */
  record TokenReturn(CustomerName customer, long tokens) implements EntryMessage {}

  /**
   * Asks control to record an idempotency key before the call is sent.
   *
   * @param id number of the request
   * @param customer the customer
   * @param key the idempotency key
   * @param requestDigest SHA-256 of method, path and body, in hexadecimal digits
   */
  record IntentRequest(long id, CustomerName customer, String key, String requestDigest)
      implements EntryMessage {}

  /** Whether a call with an idempotency key may be sent. */
  enum IntentVerdict {
    /** The key is recorded for this call, which may be sent once. */
    FIRST,
    /** The key was recorded before for the same request. */
    DUPLICATE,
    /** The key was recorded before for another request. */
    MISMATCH,
    /** The key cannot be recorded now; it is certain that the call must not be sent. */
    UNAVAILABLE
  }

  /**
   * Answer to {@link IntentRequest}.
   *
   * @param id number of the request
   * @param verdict whether the call may be sent
   * @param nonce identifier of the recorded attempt, for {@link IntentOutcome}
   * @param ran for a duplicate: whether the earlier call ran
   * @param status for a duplicate: HTTP status of the earlier call, 0 if unknown
   */
  record IntentReply(long id, IntentVerdict verdict, String nonce, Ran ran, int status)
      implements EntryMessage {}

  /**
   * Outcome of a call that was recorded.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param nonce identifier of the recorded attempt
   * @param ran whether it ran
   * @param status HTTP status of the endpoint, 0 if it did not answer
   */
  record IntentOutcome(CustomerName customer, String key, String nonce, Ran ran, int status)
      implements EntryMessage {}

  /**
   * Use of a replica by one entry program.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param inFlight requests in flight
   * @param idleMs time since the last request ended, in milliseconds; 0 while one is in flight
   */
  record ReplicaUse(EndpointName endpoint, ArtifactName artifact, int inFlight, long idleMs) {}

  /**
   * Use of replicas, sent each second.
   *
   * @param uses replicas that this entry program has used since it started
   */
  record ModelUse(List<ReplicaUse> uses) implements EntryMessage {}
}
