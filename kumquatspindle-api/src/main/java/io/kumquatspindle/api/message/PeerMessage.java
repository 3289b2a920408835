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
   * First message of a control program on a connection.
   *
   * @param vm the sender's VM
   * @param failureDomain the sender's failure domain
   * @param address IP address and port that the sender listens on
   * @param incarnation changes each time the control program starts
   * @param protocol version of the protocol
   */
  record PeerHello(
      VmId vm, FailureDomain failureDomain, String address, String incarnation, int protocol)
      implements PeerMessage {}

  /** What a control believes about another one. */
  enum MemberState {
    /** Heard of within the time limit. */
    ALIVE,
    /** Not heard of for a while. */
    SUSPECT,
    /** Said that it stops. */
    LEAVING,
    /** Gone for good. */
    GONE
  }

  /**
   * What the sender knows of a member.
   *
   * @param vm the member's VM
   * @param failureDomain its failure domain
   * @param address IP address and port of its control program
   * @param incarnation number that the member raises at each start and to refute a suspicion
   * @param heartbeat number that the member raises each second
   * @param state what the sender believes
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
   * @param ageMs time since the endpoint was polled, in milliseconds
   * @param report the report
   */
  record AgedReport(long ageMs, EndpointReport report) {}

  /**
   * One round of gossip.
   *
   * @param ticketsOffset next offset of the tickets stream that the sender has not applied
   * @param confirmedAgoMs time since the sender was last confirmed up to date, in milliseconds
   * @param members members whose state changed lately, and the sender
   * @param reports endpoint reports that the sender polled or received lately
   * @param decisionsOffset next offset of the decisions stream that the sender has not applied
   * @param sharesOffset next offset of the shares stream that the sender has not applied
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
   * Answer to {@link Gossip}, with the same fields.
   *
   * @param ticketsOffset next offset of the tickets stream that the sender has not applied
   * @param confirmedAgoMs time since the sender was last confirmed up to date, in milliseconds
   * @param members members whose state changed lately, and the sender
   * @param reports endpoint reports that the sender polled or received lately
   * @param decisionsOffset next offset of the decisions stream that the sender has not applied
   * @param sharesOffset next offset of the shares stream that the sender has not applied
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
   * Asks for records of a stream that the sender cannot read from the log.
   *
   * @param stream name of the stream
   * @param from first offset wanted
   */
  record RecordsRequest(String stream, long from) implements PeerMessage {}

  /**
   * Answer to {@link RecordsRequest}.
   *
   * @param stream name of the stream
   * @param earliest oldest offset that the sender still holds
   * @param records records in offset order
   */
  record Records(String stream, long earliest, List<LogRecord> records) implements PeerMessage {}

  /**
   * Asks for the whole fold of a stream.
   *
   * @param stream name of the stream
   */
  record SnapshotRequest(String stream) implements PeerMessage {}

  /**
   * Answer to {@link SnapshotRequest}.
   *
   * @param stream name of the stream
   * @param offset next offset of the stream that the fold has not applied
   * @param state JSON text of the fold in UTF-8; empty if the sender has none
   */
  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  record Snapshot(String stream, long offset, byte[] state) implements PeerMessage {}

  /**
   * Asks a peer for tokens of a customer.
   *
   * @param id number of the request, unique within the sender's incarnation
   * @param customer the customer
   * @param tokens tokens wanted
   */
  record TransferRequest(long id, CustomerName customer, long tokens) implements PeerMessage {}

  /**
   * Gives tokens to a peer; the sender has subtracted them.
   *
   * @param id number of the request
   * @param customer the customer
   * @param tokens tokens given, 0 if none
   */
  record Transfer(long id, CustomerName customer, long tokens) implements PeerMessage {}
}
