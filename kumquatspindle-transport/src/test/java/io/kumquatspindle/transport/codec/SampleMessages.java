package io.kumquatspindle.transport.codec;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.KeySpec;
import io.kumquatspindle.api.config.Limits;
import io.kumquatspindle.api.config.ModelSpec;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.LinkMessage;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One sample of each message type. Maps have a single entry, since iteration order differs between
 * runs.
 */
final class SampleMessages {
  private static final ArtifactName MODEL = ArtifactName.of("notice");
  private static final CustomerName CUSTOMER = CustomerName.of("gas");
  private static final EndpointName ENDPOINT = EndpointName.of("e-1");
  private static final KeyHash KEY = KeyHash.ofKey("k");
  private static final FailureDomain DOMAIN = FailureDomain.of("a");
  private static final VmId VM = VmId.of("vm-1");

  private SampleMessages() {}

  static Configuration configuration() {
    return new Configuration(
        3,
        Map.of(MODEL, new ModelSpec(MODEL, 8000, 2)),
        Map.of(),
        Map.of(CUSTOMER, new CustomerSpec(CUSTOMER, 5, 50, 1, 900, Set.of(MODEL), Set.of())),
        Map.of(KEY, new KeySpec(KEY, CUSTOMER, false)),
        Map.of(),
        Map.of(),
        Map.of(),
        new Limits(List.of(DOMAIN), 4, 4, 7.5, 30));
  }

  static List<Message> all() {
    var use = new EntryMessage.ReplicaUse(ENDPOINT, MODEL, 2, 0);
    var load = new EntryMessage.EndpointLoad(ENDPOINT, 1, 2, 8, true, 400);
    var replica = new EntryMessage.Replica(ENDPOINT, MODEL, EntryMessage.ReplicaState.LOADING, 700);
    var member =
        new PeerMessage.Member(
            VM, DOMAIN, "127.0.0.1:7101", 2, 900, PeerMessage.MemberState.SUSPECT, 3);
    var report =
        new EndpointReport(
            ENDPOINT, "i-1", 1, 0, 8, false, Map.of(MODEL, 1), List.of(), List.of(MODEL));
    return List.of(
        new LinkMessage.Heartbeat(),
        new EntryMessage.EntryHello(VM, "i-7", 1),
        new EntryMessage.ConfigUpdate(12, 40, configuration()),
        new EntryMessage.Freshness(12, 40),
        new EntryMessage.PlacementUpdate(List.of(replica)),
        new EntryMessage.EndpointLoads(List.of(load)),
        new EntryMessage.ModelWanted(MODEL, CUSTOMER, 3, 1500),
        new EntryMessage.ModelOutlook(MODEL, EntryMessage.Outlook.REFUSED, 0, "no memory"),
        new EntryMessage.TokenRequest(1, CUSTOMER, 4000),
        new EntryMessage.TokenGrant(1, CUSTOMER, 0, 250),
        new EntryMessage.TokenReturn(CUSTOMER, -20),
        new EntryMessage.IntentRequest(2, CUSTOMER, "idem", "ab"),
        new EntryMessage.IntentReply(
            2, EntryMessage.IntentVerdict.DUPLICATE, "n", ExecutionStatus.RAN, 200),
        new EntryMessage.IntentOutcome(CUSTOMER, "idem", "n", ExecutionStatus.UNKNOWN, 0),
        new EntryMessage.ModelUse(List.of(use)),
        new PeerMessage.PeerHello(VM, DOMAIN, "127.0.0.1:7101", "i-8", 1),
        new PeerMessage.Gossip(
            12, 40, List.of(member), List.of(new PeerMessage.AgedReport(70, report)), 6, 2),
        new PeerMessage.GossipReply(12, 40, List.of(member), List.of(), 6, 2),
        new PeerMessage.RecordsRequest("tickets", 12),
        new PeerMessage.Records(
            "tickets", 4, List.of(new LogRecord(12, 1_700_000_000_000L, new byte[] {1, -1}))),
        new PeerMessage.SnapshotRequest("tickets"),
        new PeerMessage.Snapshot("tickets", 12, new byte[] {123, 125}),
        new PeerMessage.TransferRequest(5, CUSTOMER, 100),
        new PeerMessage.Transfer(5, CUSTOMER, 100));
  }
}
