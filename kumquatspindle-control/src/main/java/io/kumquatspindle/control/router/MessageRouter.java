package io.kumquatspindle.control.router;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.Message;
import io.kumquatspindle.api.message.PeerMessage;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.control.entry.EntrySessions;
import io.kumquatspindle.control.intent.IntentController;
import io.kumquatspindle.control.membership.MembershipController;
import io.kumquatspindle.control.placement.PlacementController;
import io.kumquatspindle.control.quota.TokenProvider;
import io.kumquatspindle.transport.link.Link;
import io.kumquatspindle.transport.link.LinkListener;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Dispatches each received message to the component that handles it. */
public final class MessageRouter implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntrySessions entries;
  private final ModelWantedRouter wanted;
  private final PlacementController placement;
  private final IntentController intents;
  private final TokenProvider tokens;
  private final MembershipController membership;
  private final StreamSync streams;
  private final Map<Link, VmId> peerVms = new ConcurrentHashMap<>();

  private MessageRouter(Builder b) {
    entries = b.entries;
    wanted = b.wanted;
    placement = b.placement;
    intents = b.intents;
    tokens = b.tokens;
    membership = b.membership;
    streams = b.streams;
  }

  /**
   * Returns a builder. Every component must be set.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public void opened(Link link) {}

  @Override
  public void closed(Link link, String reason) {
    peerVms.remove(link);
    entries
        .close(link)
        .ifPresent(
            h -> logger.atInfo().log("entry program of %s disconnected: %s", h.vm(), reason));
  }

  @Override
  public void received(Link link, Envelope envelope) {
    Message m = envelope.body();
    if (m instanceof EntryMessage e) {
      handleEntryMessage(link, envelope, e);
    } else if (m instanceof PeerMessage p) {
      handlePeerMessage(link, envelope, p);
    }
  }

  // Replies to entry programs carry the request id in their body, so they are sent as plain
  // messages.
  private void handleEntryMessage(Link link, Envelope envelope, EntryMessage m) {
    if (m instanceof EntryMessage.EntryHello h) {
      entries.open(link, h);
    } else if (m instanceof EntryMessage.TokenRequest r) {
      tokens.requestTokens(r, link::send);
    } else if (m instanceof EntryMessage.TokenReturn r) {
      tokens.returnTokens(r);
    } else if (m instanceof EntryMessage.ModelWanted w) {
      handleModelWanted(link, envelope, w);
    } else if (m instanceof EntryMessage.IntentRequest r) {
      intents.request(r, link::send);
    } else if (m instanceof EntryMessage.IntentOutcome o) {
      intents.callFinished(o);
    } else if (m instanceof EntryMessage.ModelUse u) {
      entries.vm(link).ifPresent(vm -> placement.modelUsed(vm, u));
    }
  }

  // A message from an entry program is routed to the deciding VM. A message from a peer is decided
  // here, since VMs with different membership views could otherwise forward it in a cycle.
  private void handleModelWanted(Link link, Envelope envelope, EntryMessage.ModelWanted w) {
    if (entries.vm(link).isPresent()) {
      wanted.route(w, link::send);
    } else {
      placement.modelWanted(w, outlook -> link.reply(envelope, outlook));
    }
  }

  private void handlePeerMessage(Link link, Envelope envelope, PeerMessage m) {
    if (m instanceof PeerMessage.PeerHello h) {
      handlePeerHello(link, h);
    } else if (m instanceof PeerMessage.Gossip g) {
      membership.gossipReceived(g, reply -> link.reply(envelope, reply));
    } else if (m instanceof PeerMessage.RecordsRequest r) {
      streams.recordsRequested(r, reply -> link.reply(envelope, reply));
    } else if (m instanceof PeerMessage.SnapshotRequest r) {
      streams.snapshotRequested(r, reply -> link.reply(envelope, reply));
    } else if (m instanceof PeerMessage.TransferRequest r) {
      VmId peer = peerVms.get(link);
      if (peer != null) {
        tokens.requestTransfer(peer, r, transfer -> link.reply(envelope, transfer));
      }
    }
  }

  private void handlePeerHello(Link link, PeerMessage.PeerHello h) {
    if (h.protocol() == EntryMessage.EntryHello.PROTOCOL) {
      peerVms.put(link, h.vm());
    } else {
      link.close("protocol " + h.protocol() + " is not supported");
    }
  }

  /** Builds a {@link MessageRouter}. */
  public static final class Builder {
    private EntrySessions entries;
    private ModelWantedRouter wanted;
    private PlacementController placement;
    private IntentController intents;
    private TokenProvider tokens;
    private MembershipController membership;
    private StreamSync streams;

    private Builder() {}

    /** Sets the sessions of the connected entry programs. */
    public Builder entries(EntrySessions value) {
      entries = value;
      return this;
    }

    /** Sets the router for messages of entry programs about wanted artifacts. */
    public Builder wanted(ModelWantedRouter value) {
      wanted = value;
      return this;
    }

    /** Sets the placement controller. */
    public Builder placement(PlacementController value) {
      placement = value;
      return this;
    }

    /** Sets the intent controller. */
    public Builder intents(IntentController value) {
      intents = value;
      return this;
    }

    /** Sets the token provider. */
    public Builder tokens(TokenProvider value) {
      tokens = value;
      return this;
    }

    /** Sets the membership controller. */
    public Builder membership(MembershipController value) {
      membership = value;
      return this;
    }

    /** Sets the synchronization of streams with peers. */
    public Builder streams(StreamSync value) {
      streams = value;
      return this;
    }

    /** Returns the router. */
    public MessageRouter build() {
      return new MessageRouter(this);
    }
  }
}
