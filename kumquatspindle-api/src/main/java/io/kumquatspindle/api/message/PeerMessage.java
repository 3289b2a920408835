package io.kumquatspindle.api.message;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;

/** Messages between control programs. */
public sealed interface PeerMessage extends Message {

  /**
   * The first message of a control program on a connection.
   *
   * @param vm the sender's VM
   * @param failureDomain the sender's failure domain
   * @param address IP address and port on which the sender listens
   * @param incarnation identifier that changes each time the control program starts
   * @param protocol protocol version
   */
  record PeerHello(
      VmId vm, FailureDomain failureDomain, String address, String incarnation, int protocol)
      implements PeerMessage {}

  /** The state of a control program in the view of another one. */
  enum MemberState {
    /** A new heartbeat was received within the time limit. */
    ALIVE,
    /** No new heartbeat was received within the time limit. */
    SUSPECT,
    /** The member has announced that it is stopping. */
    LEAVING,
    /** The member has left permanently. */
    GONE
  }

  /**
   * The state of a fleet member in the view of the sender.
   *
   * @param vm the member's VM
   * @param failureDomain its failure domain
   * @param address IP address and port of its control program
   * @param incarnation number that the member increases at each start and to refute a suspicion
   * @param heartbeat counter that the member increases every second
   * @param state its state in the view of the sender
   * @param configurationNumber number of the last ticket in force at the member
   */
  record Member(
      VmId vm,
      FailureDomain failureDomain,
      String address,
      long incarnation,
      long heartbeat,
      MemberState state,
      long configurationNumber) {}

  /**
   * An endpoint report and its age.
   *
   * @param ageMs time since the report was read from the endpoint, in milliseconds
   * @param report the report
   */
  record AgedReport(long ageMs, EndpointReport report) {}

  /**
   * One round of gossip.
   *
   * @param ticketsOffset offset of the first record of the tickets stream that the sender has not
   *     applied
   * @param confirmedAgoMs time since the sender's configuration was last confirmed as current, in
   *     milliseconds
   * @param members members whose state has changed recently, and the sender
   * @param reports endpoint reports that the sender has recently read or received
   * @param decisionsOffset offset of the first record of the decisions stream that the sender has
   *     not applied
   * @param sharesOffset offset of the first record of the shares stream that the sender has not
   *     applied
   */
  record Gossip(
      long ticketsOffset,
      long confirmedAgoMs,
      List<Member> members,
      List<AgedReport> reports,
      long decisionsOffset,
      long sharesOffset)
      implements PeerMessage {}

  /**
   * The reply to {@link Gossip}, with the same fields.
   *
   * @param ticketsOffset offset of the first record of the tickets stream that the sender has not
   *     applied
   * @param confirmedAgoMs time since the sender's configuration was last confirmed as current, in
   *     milliseconds
   * @param members members whose state has changed recently, and the sender
   * @param reports endpoint reports that the sender has recently read or received
   * @param decisionsOffset offset of the first record of the decisions stream that the sender has
   *     not applied
   * @param sharesOffset offset of the first record of the shares stream that the sender has not
   *     applied
   */
  record GossipReply(
      long ticketsOffset,
      long confirmedAgoMs,
      List<Member> members,
      List<AgedReport> reports,
      long decisionsOffset,
      long sharesOffset)
      implements PeerMessage {}

  /**
   * Requests records of a stream that the sender cannot read from the log.
   *
   * @param stream name of the stream
   * @param from offset of the first requested record
   */
  record RecordsRequest(String stream, long from) implements PeerMessage {}

  /**
   * The reply to {@link RecordsRequest}.
   *
   * @param stream name of the stream
   * @param earliest earliest offset that the sender still has
   * @param records records in offset order
   */
  record Records(String stream, long earliest, List<LogRecord> records) implements PeerMessage {}

  /**
   * Requests a snapshot of the state built from a stream.
   *
   * @param stream name of the stream
   */
  record SnapshotRequest(String stream) implements PeerMessage {}

  /**
   * The reply to {@link SnapshotRequest}.
   *
   * @param stream name of the stream
   * @param offset offset of the first record of the stream that the state does not include
   * @param state the state as JSON in UTF-8; empty if the sender has none
   */
  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  record Snapshot(String stream, long offset, byte[] state) implements PeerMessage {}

  /**
   * Requests quota tokens of a customer from a peer.
   *
   * @param id request number, unique within the incarnation of the sender
   * @param customer the customer
   * @param tokens number of tokens requested
   */
  record TransferRequest(long id, CustomerName customer, long tokens) implements PeerMessage {}

  /**
   * Transfers tokens to a peer. The sender has already deducted them from its own balance.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens number of tokens transferred, possibly 0
   */
  record Transfer(long id, CustomerName customer, long tokens) implements PeerMessage {}
}
