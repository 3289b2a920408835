package io.kumquatspindle.api.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A message between processes of the system. For wire compatibility, new fields may be added only
 * at the end of a record.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = LinkMessage.Heartbeat.class, name = "hb"),
  @JsonSubTypes.Type(value = EntryMessage.EntryHello.class, name = "eh"),
  @JsonSubTypes.Type(value = EntryMessage.ConfigUpdate.class, name = "cu"),
  @JsonSubTypes.Type(value = EntryMessage.Freshness.class, name = "fr"),
  @JsonSubTypes.Type(value = EntryMessage.PlacementUpdate.class, name = "pu"),
  @JsonSubTypes.Type(value = EntryMessage.EndpointLoads.class, name = "el"),
  @JsonSubTypes.Type(value = EntryMessage.ModelWanted.class, name = "mw"),
  @JsonSubTypes.Type(value = EntryMessage.ModelOutlook.class, name = "mo"),
  @JsonSubTypes.Type(value = EntryMessage.TokenRequest.class, name = "tr"),
  @JsonSubTypes.Type(value = EntryMessage.TokenGrant.class, name = "tg"),
  @JsonSubTypes.Type(value = EntryMessage.TokenReturn.class, name = "tb"),
  @JsonSubTypes.Type(value = EntryMessage.IntentRequest.class, name = "iq"),
  @JsonSubTypes.Type(value = EntryMessage.IntentReply.class, name = "ir"),
  @JsonSubTypes.Type(value = EntryMessage.IntentOutcome.class, name = "io"),
  @JsonSubTypes.Type(value = EntryMessage.ModelUse.class, name = "mu"),
  @JsonSubTypes.Type(value = PeerMessage.PeerHello.class, name = "ph"),
  @JsonSubTypes.Type(value = PeerMessage.Gossip.class, name = "go"),
  @JsonSubTypes.Type(value = PeerMessage.GossipReply.class, name = "gr"),
  @JsonSubTypes.Type(value = PeerMessage.RecordsRequest.class, name = "rq"),
  @JsonSubTypes.Type(value = PeerMessage.Records.class, name = "rs"),
  @JsonSubTypes.Type(value = PeerMessage.SnapshotRequest.class, name = "sq"),
  @JsonSubTypes.Type(value = PeerMessage.Snapshot.class, name = "ss"),
  @JsonSubTypes.Type(value = PeerMessage.TransferRequest.class, name = "xq"),
  @JsonSubTypes.Type(value = PeerMessage.Transfer.class, name = "xf")
})
public sealed interface Message permits LinkMessage, EntryMessage, PeerMessage {}
