package io.kumquatspindle.control.router;

import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage;
import io.kumquatspindle.api.message.PeerMessage.Gossip;
import io.kumquatspindle.api.message.PeerMessage.Records;
import io.kumquatspindle.api.message.PeerMessage.RecordsRequest;
import io.kumquatspindle.api.message.PeerMessage.Snapshot;
import io.kumquatspindle.api.message.PeerMessage.SnapshotRequest;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.control.peer.PeerConnectionPool;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamOwner;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Synchronizes streams with peers, so that VMs that cannot read the log receive the records. */
public final class StreamSync {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

  private final Map<StreamName, StreamOwner> owners;
  private final PeerConnectionPool peers;

  /**
   * Creates a synchronization.
   *
   * @param owners owners of the streams that are synchronized
   * @param peers connections to peers
   */
  public StreamSync(Map<StreamName, StreamOwner> owners, PeerConnectionPool peers) {
    this.owners = new EnumMap<>(owners);
    this.peers = peers;
  }

  /**
   * Requests the records that are missing here from a peer that has applied more.
   *
   * @param address the peer's address
   * @param gossip the peer's message
   */
  public void peerOffsetsReceived(String address, Gossip gossip) {
    if (address.isEmpty()) {
      return;
    }
    // Tickets are rare and urgent, so they are always requested. On the other streams a peer is
    // often briefly ahead by a record, which this VM is about to read from the log.
    requestIfBehind(StreamName.TICKETS, address, gossip.ticketsOffset(), true);
    requestIfBehind(StreamName.DECISIONS, address, gossip.decisionsOffset(), false);
    requestIfBehind(StreamName.SHARES, address, gossip.sharesOffset(), false);
  }

  private void requestIfBehind(
      StreamName stream, String address, long peerOffset, boolean evenIfLogReachable) {
    StreamOwner owner = owners.get(stream);
    boolean behind = peerOffset > owner.nextOffset();
    if (behind && (evenIfLogReachable || !owner.logReachable())) {
      long from = owner.nextOffset();
      peers.request(
          address,
          new RecordsRequest(stream.path(), from),
          REQUEST_TIMEOUT,
          m -> recordsReceived(owner, address, from, m),
          reason -> {});
    }
  }

  private void recordsReceived(StreamOwner owner, String address, long from, Message m) {
    if (!(m instanceof Records r)) {
      return;
    }
    boolean contiguous = !r.records().isEmpty() && r.records().get(0).offset() <= from;
    if (contiguous) {
      owner.offerPeerRecords(r.records());
      return;
    }
    peers.request(
        address,
        new SnapshotRequest(r.stream()),
        REQUEST_TIMEOUT,
        s -> snapshotReceived(owner, s),
        reason -> {});
  }

  private static void snapshotReceived(StreamOwner owner, Message m) {
    if (m instanceof Snapshot s && s.state().length > 0) {
      owner.offer(new StreamEvent.SnapshotReceived(s.offset(), s.state()));
    }
  }

  /**
   * Handles a peer's request for records.
   *
   * @param request the request
   * @param reply receives the reply
   */
  public void recordsRequested(RecordsRequest request, Consumer<PeerMessage> reply) {
    Optional<StreamOwner> owner = owner(request.stream());
    Consumer<List<LogRecord>> callback =
        records -> reply.accept(new Records(request.stream(), request.from(), records));
    if (owner.isEmpty()
        || !owner.get().offer(new StreamEvent.RecordsRequested(request.from(), callback))) {
      callback.accept(List.of());
    }
  }

  /**
   * Handles a peer's request for the whole state of a stream.
   *
   * @param request the request
   * @param reply receives the reply
   */
  public void snapshotRequested(SnapshotRequest request, Consumer<PeerMessage> reply) {
    Optional<StreamOwner> owner = owner(request.stream());
    StreamEvent.StateReceiver callback =
        (offset, state) -> reply.accept(new Snapshot(request.stream(), offset, state));
    if (owner.isEmpty() || !owner.get().offer(new StreamEvent.StateRequested(callback))) {
      callback.accept(0, new byte[0]);
    }
  }

  private Optional<StreamOwner> owner(String stream) {
    return owners.entrySet().stream()
        .filter(e -> e.getKey().path().equals(stream))
        .map(Map.Entry::getValue)
        .findFirst();
  }
}
