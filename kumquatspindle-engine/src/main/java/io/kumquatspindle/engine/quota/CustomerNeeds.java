package io.kumquatspindle.engine.quota;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.VmId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Entry's open requests for one customer's tokens, and the search for tokens at peers. */
final class CustomerNeeds {
  private final CustomerName customer;
  private final QuotaSettings settings;
  private final CustomerLevel level;
  private final ArrayDeque<Need> needs = new ArrayDeque<>();
  private Optional<Ask> ask = Optional.empty();
  private Deque<VmId> peers = new ArrayDeque<>();
  private long noAskBeforeMs = Long.MIN_VALUE;
  private boolean searching;

  CustomerNeeds(CustomerName customer, QuotaSettings settings, CustomerLevel level) {
    this.customer = customer;
    this.settings = settings;
    this.level = level;
  }

  CustomerLevel level() {
    return level;
  }

  boolean isEmpty() {
    return needs.isEmpty();
  }

  void add(long id, long tokens, long now) {
    long wanted = Math.max(0, Math.min(tokens, TokenBucket.MOST_TOKENS));
    level.demanded(wanted, now);
    needs.add(new Need(id, wanted));
  }

  /** Takes a peer's answer; returns the peer if the answer was awaited and gave tokens. */
  Optional<VmId> transferred(long id, long tokens, long now) {
    if (ask.filter(a -> a.id() == id).isEmpty()) {
      return Optional.empty();
    }
    Ask answered = ask.get();
    ask = Optional.empty();
    if (tokens >= answered.tokens()) {
      // A peer that gave all that was asked for may have more.
      peers.addFirst(answered.peer());
    }
    level.borrow(tokens, answered.askedMs(), now);
    return tokens > 0 ? Optional.of(answered.peer()) : Optional.empty();
  }

  /** Grants what can be granted, and asks the next peer for what is missing. */
  void serve(PeerChoice choice, AskIds ids, List<QuotaAction> actions, long now) {
    ask = ask.filter(a -> now < a.askedMs() + settings.peerTimeoutMs());
    while (!needs.isEmpty()) {
      Need need = needs.peek();
      if (level.tokens(now) >= need.tokens()) {
        grant(need, actions, now);
      } else if (ask.isPresent()) {
        return;
      } else if (!askNext(choice, ids, actions, now)) {
        grant(need, actions, now);
      } else {
        return;
      }
    }
    searching = false;
  }

  private boolean askNext(PeerChoice choice, AskIds ids, List<QuotaAction> actions, long now) {
    if (!searching) {
      if (now < noAskBeforeMs) {
        return false;
      }
      peers = choice.peers(customer);
      searching = true;
    }
    if (peers.isEmpty()) {
      searching = false;
      noAskBeforeMs = now + settings.keepDemandMs();
      return false;
    }
    long soon = (long) (level.demandPerMs(now) * settings.keepDemandMs());
    long missing = needs.stream().mapToLong(Need::tokens).sum() - level.tokens(now);
    Ask next = new Ask(ids.next(), peers.poll(), missing + soon, now);
    ask = Optional.of(next);
    actions.add(new QuotaAction.AskPeer(next.peer(), next.id(), customer, next.tokens()));
    return true;
  }

  private void grant(Need need, List<QuotaAction> actions, long now) {
    needs.poll();
    long granted = level.grant(need.tokens(), now);
    long missing = need.tokens() - granted;
    long retryAfterMs = missing == 0 ? 0 : level.msUntil(missing, now);
    actions.add(new QuotaAction.GrantToEntry(need.id(), customer, granted, retryAfterMs));
  }

  /** Numbers of requests to peers. */
  interface AskIds {
    long next();
  }

  private record Need(long id, long tokens) {}

  private record Ask(long id, VmId peer, long tokens, long askedMs) {}
}
