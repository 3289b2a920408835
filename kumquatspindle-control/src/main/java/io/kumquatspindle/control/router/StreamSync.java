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
import io.kumquatspindle.control.peer.PeerNetwork;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamOwner;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Exchanges stream records and snapshots with peers, for VMs that cannot read the log. */
public final class StreamSync {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final Map<StreamName, StreamOwner> owners;
  private final PeerNetwork peers;

  /**
   * Creates an exchange.
   *
   * @param owners owners of the streams that are exchanged
   * @param peers connections to peers
   */
  public StreamSync(Map<StreamName, StreamOwner> owners, PeerNetwork peers) {
    this.owners = new EnumMap<>(owners);
    this.peers = peers;
  }

  /**
   * Asks a peer that is further on for what is missing here.
   *
   * @param address the peer's address
   * @param g what the peer said
   */
  public void peerOffsets(String address, Gossip g) {
    if (address.isEmpty()) {
      return;
    }
    // Tickets are rare and urgent. Of the other streams a peer is often a record ahead for a
    // moment, which the log itself settles.
    compare(StreamName.TICKETS, address, g.ticketsOffset(), true);
    compare(StreamName.DECISIONS, address, g.decisionsOffset(), false);
    compare(StreamName.SHARES, address, g.sharesOffset(), false);
  }

  private void compare(StreamName stream, String address, long peerOffset, boolean always) {
    StreamOwner owner = owners.get(stream);
    boolean behind = peerOffset > owner.nextOffset();
    if (behind && (always || !owner.logReachable())) {
      long from = owner.nextOffset();
      peers.ask(
          address,
          new RecordsRequest(stream.path(), from),
          TIMEOUT,
          m -> takeRecords(owner, address, from, m),
          reason -> {});
    }
  }

  private void takeRecords(StreamOwner owner, String address, long from, Message m) {
    if (!(m instanceof Records r)) {
      return;
    }
    boolean usable = !r.records().isEmpty() && r.records().get(0).offset() <= from;
    if (usable) {
      owner.offerRecords(r.records());
      return;
    }
    peers.ask(
        address,
        new SnapshotRequest(r.stream()),
        TIMEOUT,
        s -> takeSnapshot(owner, s),
        reason -> {});
  }

  private static void takeSnapshot(StreamOwner owner, Message m) {
    if (m instanceof Snapshot s && s.state().length > 0) {
      owner.offer(new StreamEvent.SnapshotFound(s.offset(), s.state()));
    }
  }

  /**
   * Answers a peer that is behind.
   *
   * @param request what it asks for
   * @param reply takes the answer
   */
  public void recordsRequested(RecordsRequest request, Consumer<PeerMessage> reply) {
    Optional<StreamOwner> owner = owner(request.stream());
    Consumer<List<LogRecord>> answer =
        records -> reply.accept(new Records(request.stream(), request.from(), records));
    if (owner.isEmpty()
        || !owner.get().offer(new StreamEvent.RecordsWanted(request.from(), answer))) {
      answer.accept(List.of());
    }
  }

  /**
   * Answers a peer that needs the whole fold.
   *
   * @param request what it asks for
   * @param reply takes the answer
   */
  public void snapshotRequested(SnapshotRequest request, Consumer<PeerMessage> reply) {
    Optional<StreamOwner> owner = owner(request.stream());
    StreamEvent.StateReceiver answer =
        (offset, state) -> reply.accept(new Snapshot(request.stream(), offset, state));
    if (owner.isEmpty() || !owner.get().offer(new StreamEvent.StateWanted(answer))) {
      answer.accept(0, new byte[0]);
    }
  }

  private Optional<StreamOwner> owner(String stream) {
    return owners.entrySet().stream()
        .filter(e -> e.getKey().path().equals(stream))
        .map(Map.Entry::getValue)
        .findFirst();
  }
}
