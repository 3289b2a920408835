package io.kumquatspindle.api.message;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.model.VmId;
import java.util.List;

/** Messages between an entry program and a control program. */
public sealed interface EntryMessage extends Message {

  /**
   * The first message of an entry program on a connection.
   *
   * @param vm the VM of the entry program
   * @param incarnation identifier that changes each time the entry program starts
   * @param protocol protocol version
   */
  record EntryHello(VmId vm, String incarnation, int protocol) implements EntryMessage {
    /** The protocol version of this build. */
    public static final int PROTOCOL = 1;
  }

  /**
   * The complete configuration, sent after {@link EntryHello} and after each accepted ticket.
   *
   * @param ticketsOffset offset of the first record of the tickets stream that is not applied
   * @param confirmedAgoMs time since the sender's configuration was last confirmed as current, in
   *     milliseconds
   * @param configuration the configuration
   */
  record ConfigUpdate(long ticketsOffset, long confirmedAgoMs, Configuration configuration)
      implements EntryMessage {}

  /**
   * How recently the configuration was confirmed as current, sent every second.
   *
   * @param ticketsOffset offset of the first record of the tickets stream that is not applied
   * @param confirmedAgoMs time since the sender's configuration was last confirmed as current, in
   *     milliseconds
   */
  record Freshness(long ticketsOffset, long confirmedAgoMs) implements EntryMessage {}

  /** The state of a replica with respect to requests. */
  enum ReplicaState {
    /** Loading; requests are queued. */
    LOADING,
    /** Accepts requests. */
    READY,
    /** About to be unloaded; accepts no new requests. */
    DRAINING
  }

  /**
   * A replica of a model or adapter.
   *
   * @param endpoint the endpoint that it is placed on
   * @param artifact the model or adapter
   * @param state whether it accepts requests
   * @param expectedReadyMs expected time until it accepts requests, in milliseconds; 0 if it
   *     already does
   */
  record Replica(
      EndpointName endpoint, ArtifactName artifact, ReplicaState state, long expectedReadyMs) {}

  /**
   * All replicas, sent on every change and every 5 s.
   *
   * @param replicas the replicas
   */
  record PlacementUpdate(List<Replica> replicas) implements EntryMessage {}

  /**
   * The request load of an endpoint.
   *
   * @param endpoint the endpoint
   * @param running number of requests in progress
   * @param waiting number of requests queued at the endpoint
   * @param capacity number of concurrent requests that it handles at full speed
   * @param leaving whether it must not receive new requests
   * @param ageMs age of the underlying report, in milliseconds
   */
  record EndpointLoad(
      EndpointName endpoint, int running, int waiting, int capacity, boolean leaving, long ageMs) {}

  /**
   * The request load of all endpoints, sent every 500 ms.
   *
   * @param loads one element per endpoint with a report
   */
  record EndpointLoads(List<EndpointLoad> loads) implements EntryMessage {}

  /**
   * Reports that requests are queued for a model or adapter without a ready replica.
   *
   * @param artifact the model or adapter
   * @param customer customer of the request with the earliest deadline
   * @param waiting number of queued requests
   * @param earliestDeadlineMs time until the earliest deadline, in milliseconds
   */
  record ModelWanted(
      ArtifactName artifact, CustomerName customer, int waiting, long earliestDeadlineMs)
      implements EntryMessage {}

  /** Whether a requested model or adapter is going to be available. */
  enum Outlook {
    /** A load has been decided or is in progress. */
    EXPECTED,
    /** The load decision is waiting for memory or for the weight store. */
    QUEUED,
    /** It cannot be loaded at the moment. */
    REFUSED
  }

  /**
   * The reply to {@link ModelWanted}.
   *
   * @param artifact the model or adapter
   * @param outlook whether it is going to be available
   * @param expectedReadyMs expected time until a replica is ready, in milliseconds
   * @param reason why the load is waiting or refused; empty otherwise
   */
  record ModelOutlook(ArtifactName artifact, Outlook outlook, long expectedReadyMs, String reason)
      implements EntryMessage {}

  /**
   * Requests quota tokens of a customer from the control program.
   *
   * @param id request number, unique within the incarnation of the entry program
   * @param customer the customer
   * @param tokens number of tokens requested
   */
  record TokenRequest(long id, CustomerName customer, long tokens) implements EntryMessage {}

  /**
   * Grants tokens to the entry program. The sender has already deducted them from its own balance.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens number of tokens granted, possibly 0
   * @param retryAfterMs expected time until more tokens are available, in milliseconds
   */
  record TokenGrant(long id, CustomerName customer, long tokens, long retryAfterMs)
      implements EntryMessage {}

  /**
   * Returns unused tokens to the control program. A negative number reports a debt.
   *
   * @param customer the customer
   * @param tokens number of tokens returned
   */
  record TokenReturn(CustomerName customer, long tokens) implements EntryMessage {}

  /**
   * Asks the control program to record an idempotency key before the call is sent.
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
    /** The key has been recorded for this call, which may be sent once. */
    FIRST,
    /** The key was already recorded for the same request. */
    DUPLICATE,
    /** The key was already recorded for a different request. */
    MISMATCH,
    /** The key cannot be recorded at the moment; the call must not be sent. */
    UNAVAILABLE
  }

  /**
   * The reply to {@link IntentRequest}.
   *
   * @param id number of the request
   * @param verdict whether the call may be sent
   * @param nonce identifier of the recorded attempt, to be used in {@link IntentOutcome}
   * @param ran for a duplicate, whether the earlier call was executed
   * @param status for a duplicate, the HTTP status of the earlier call; 0 if unknown
   */
  record IntentReply(long id, IntentVerdict verdict, String nonce, ExecutionStatus ran, int status)
      implements EntryMessage {}

  /**
   * The outcome of a call with a recorded idempotency key.
   *
   * @param customer the customer
   * @param key the idempotency key
   * @param nonce identifier of the recorded attempt
   * @param ran whether the call was executed
   * @param status HTTP status returned by the endpoint, 0 if there was no response
   */
  record IntentOutcome(
      CustomerName customer, String key, String nonce, ExecutionStatus ran, int status)
      implements EntryMessage {}

  /**
   * The use of a replica by one entry program.
   *
   * @param endpoint the endpoint
   * @param artifact the model or adapter
   * @param inFlight number of requests in flight
   * @param idleMs time since the last request ended, in milliseconds; 0 while one is in flight
   */
  record ReplicaUse(EndpointName endpoint, ArtifactName artifact, int inFlight, long idleMs) {}

  /**
   * The use of replicas by one entry program, sent every second.
   *
   * @param uses the replicas that the entry program has used since it started
   */
  record ModelUse(List<ReplicaUse> uses) implements EntryMessage {}
}
