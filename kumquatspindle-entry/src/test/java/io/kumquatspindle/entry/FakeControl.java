package io.kumquatspindle.entry;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.ConfigUpdate;
import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentRequest;
import io.kumquatspindle.api.message.EntryMessage.IntentVerdict;
import io.kumquatspindle.api.message.EntryMessage.PlacementUpdate;
import io.kumquatspindle.api.message.EntryMessage.Replica;
import io.kumquatspindle.api.message.EntryMessage.ReplicaState;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.entry.control.ControlSession;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** An in-memory control program, connected directly to a session. */
final class FakeControl implements Predicate<EntryMessage> {
  final List<EntryMessage> received = new CopyOnWriteArrayList<>();
  volatile boolean logUnavailable;
  private final ControlSession session;
  private final Map<String, IntentRequest> intents = new HashMap<>();
  private final Map<String, IntentOutcome> outcomes = new HashMap<>();
  private long tokens;
  private long offset;

  FakeControl(ControlSession session, long tokens) {
    this.session = session;
    this.tokens = tokens;
    session.connected(this);
  }

  void configure(Configuration configuration) {
    session.received(new ConfigUpdate(++offset, 0, configuration));
  }

  void announceReady(ArtifactName artifact, String... endpoints) {
    List<Replica> replicas =
        Stream.of(endpoints)
            .map(e -> new Replica(EndpointName.of(e), artifact, ReplicaState.READY, 0))
            .toList();
    session.received(new PlacementUpdate(replicas));
  }

  synchronized long tokens() {
    return tokens;
  }

  <T> List<T> received(Class<T> type) {
    return received.stream().filter(type::isInstance).map(type::cast).toList();
  }

  @Override
  public synchronized boolean test(EntryMessage message) {
    received.add(message);
    if (message instanceof TokenRequest r) {
      long given = Math.min(tokens, r.tokens());
      tokens -= given;
      session.received(new TokenGrant(r.id(), r.customer(), given, 1_700));
    } else if (message instanceof TokenReturn r) {
      tokens += r.tokens();
    } else if (message instanceof IntentRequest r) {
      session.received(reply(r, intents.putIfAbsent(r.key(), r)));
    } else if (message instanceof IntentOutcome o) {
      outcomes.put(o.key(), o);
    }
    return true;
  }

  private IntentReply reply(IntentRequest r, IntentRequest earlier) {
    if (logUnavailable) {
      return new IntentReply(r.id(), IntentVerdict.UNAVAILABLE, "", ExecutionStatus.NOT_RUN, 0);
    }
    if (earlier == null) {
      return new IntentReply(r.id(), IntentVerdict.FIRST, "n" + r.id(), ExecutionStatus.UNKNOWN, 0);
    }
    if (!earlier.requestDigest().equals(r.requestDigest())) {
      return new IntentReply(r.id(), IntentVerdict.MISMATCH, "", ExecutionStatus.UNKNOWN, 0);
    }
    IntentOutcome outcome = outcomes.get(r.key());
    ExecutionStatus ran = outcome == null ? ExecutionStatus.UNKNOWN : outcome.ran();
    int status = outcome == null ? 0 : outcome.status();
    return new IntentReply(r.id(), IntentVerdict.DUPLICATE, "", ran, status);
  }
}
