package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.VmId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Queue of entry's requests for one customer's tokens; requests missing tokens from peers. */
final class TokenRequestQueue {
  private final CustomerName customer;
  private final QuotaSettings settings;
  private final CustomerBucket bucket;
  private final ArrayDeque<EntryRequest> pending = new ArrayDeque<>();
  private Optional<PeerRequest> peerRequest = Optional.empty();
  private Deque<VmId> peers = new ArrayDeque<>();
  private long nextSearchMs = Long.MIN_VALUE;
  private boolean searching;

  TokenRequestQueue(CustomerName customer, QuotaSettings settings, CustomerBucket bucket) {
    this.customer = customer;
    this.settings = settings;
    this.bucket = bucket;
  }

  CustomerBucket bucket() {
    return bucket;
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  void add(long id, long tokens, long now) {
    long requested = Math.max(0, Math.min(tokens, TokenBucket.MAX_TOKENS));
    bucket.recordDemand(requested, now);
    pending.add(new EntryRequest(id, requested));
  }

  /** Handles a peer's reply; returns the peer if the reply was expected and carried tokens. */
  Optional<VmId> transferReceived(long id, long tokens, long now) {
    if (peerRequest.filter(a -> a.id() == id).isEmpty()) {
      return Optional.empty();
    }
    PeerRequest answered = peerRequest.get();
    peerRequest = Optional.empty();
    if (tokens >= answered.tokens()) {
      // A peer that transferred the whole amount may have more.
      peers.addFirst(answered.peer());
    }
    bucket.borrow(tokens, answered.sentMs(), now);
    return tokens > 0 ? Optional.of(answered.peer()) : Optional.empty();
  }

  /** Grants pending requests in order, and requests missing tokens from the next peer. */
  void process(PeerSelector selector, IdSource ids, List<QuotaAction> actions, long now) {
    peerRequest = peerRequest.filter(a -> now < a.sentMs() + settings.peerTimeoutMs());
    while (!pending.isEmpty()) {
      EntryRequest request = pending.peek();
      if (bucket.tokens(now) >= request.tokens()) {
        grant(request, actions, now);
      } else if (peerRequest.isPresent()) {
        return;
      } else if (!requestFromNextPeer(selector, ids, actions, now)) {
        grant(request, actions, now);
      } else {
        return;
      }
    }
    searching = false;
  }

  private boolean requestFromNextPeer(
      PeerSelector selector, IdSource ids, List<QuotaAction> actions, long now) {
    if (!searching) {
      if (now < nextSearchMs) {
        return false;
      }
      peers = selector.selectPeers(customer);
      searching = true;
    }
    if (peers.isEmpty()) {
      searching = false;
      nextSearchMs = now + settings.demandReserveMs();
      return false;
    }
    long expectedDemand = (long) (bucket.demandPerMs(now) * settings.demandReserveMs());
    long missing = pending.stream().mapToLong(EntryRequest::tokens).sum() - bucket.tokens(now);
    PeerRequest next = new PeerRequest(ids.next(), peers.poll(), missing + expectedDemand, now);
    peerRequest = Optional.of(next);
    actions.add(
        new QuotaAction.SendTransferRequest(next.peer(), next.id(), customer, next.tokens()));
    return true;
  }

  private void grant(EntryRequest request, List<QuotaAction> actions, long now) {
    pending.poll();
    long granted = bucket.grant(request.tokens(), now);
    long missing = request.tokens() - granted;
    long retryAfterMs = missing == 0 ? 0 : bucket.msUntil(missing, now);
    actions.add(new QuotaAction.GrantToEntry(request.id(), customer, granted, retryAfterMs));
  }

  /** Source of the numbers of requests to peers. */
  interface IdSource {
    long next();
  }

  private record EntryRequest(long id, long tokens) {}

  private record PeerRequest(long id, VmId peer, long tokens, long sentMs) {}
}
