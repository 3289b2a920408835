package io.kumquatspindle.control.quota;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.message.PeerMessage.Transfer;
import io.kumquatspindle.api.message.PeerMessage.TransferRequest;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.config.ConfigurationState;
import io.kumquatspindle.control.log.LogAppender;
import io.kumquatspindle.control.membership.MembershipView;
import io.kumquatspindle.control.peer.PeerConnectionPool;
import io.kumquatspindle.control.state.StreamApplier;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamEventHandler;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.engine.membership.MemberView;
import io.kumquatspindle.engine.quota.QuotaAction;
import io.kumquatspindle.transport.worker.EventWorker;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Owns the quota slots, which result from the shares stream, and this VM's token buckets. */
public final class QuotaService implements TokenProvider, StreamOwner, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 4096;
  private static final long BUSY_RETRY_AFTER_MS = 100;
  // Longer than the quota controller waits for a transfer, so that late tokens are still credited.
  private static final Duration TRANSFER_TIMEOUT = Duration.ofMillis(500);

  private final SlotStreamStateMachine stateMachine;
  private final StreamEventHandler handler;
  private final LogAppender appender;
  private final PeerConnectionPool peers;
  private final MonotonicClock clock;
  private final EventWorker<QuotaEvent> worker;
  private final Map<Long, EntryReply> entryReplies = new HashMap<>();
  private MembershipView members = new MembershipView(0, List.of());
  private Optional<Consumer<Transfer>> transferReply = Optional.empty();
  private Optional<Runnable> stopCallback = Optional.empty();
  private long lastRequestId;

  /**
   * Creates a service and starts its thread.
   *
   * @param vm this VM
   * @param failureDomain its failure domain
   * @param incarnation identifier of this process
   * @param appender appends to the shares stream
   * @param peers connections to peers
   * @param random source of randomness
   * @param clock the monotonic clock
   */
  public QuotaService(
      VmId vm,
      FailureDomain failureDomain,
      String incarnation,
      LogAppender appender,
      PeerConnectionPool peers,
      RandomGenerator random,
      MonotonicClock clock) {
    this.appender = appender;
    this.peers = peers;
    this.clock = clock;
    this.stateMachine = new SlotStreamStateMachine(vm, failureDomain, incarnation, random, clock);
    this.handler = new StreamEventHandler(new StreamApplier(stateMachine));
    this.worker =
        EventWorker.<QuotaEvent>builder("quota", this::handle).capacity(RING_CAPACITY).start();
  }

  @Override
  public boolean offer(StreamEvent event) {
    return worker.offer(new QuotaEvent.Stream(event));
  }

  @Override
  public StreamEventHandler eventHandler() {
    return handler;
  }

  /**
   * Handles a new active configuration.
   *
   * @param state the published state
   */
  public void configurationChanged(ConfigurationState state) {
    worker.offer(new QuotaEvent.ConfigurationChanged(state.configuration()));
  }

  /**
   * Handles a change of the live members.
   *
   * @param view the members
   */
  public void membersChanged(MembershipView view) {
    worker.offer(new QuotaEvent.MembersChanged(view));
  }

  /**
   * Handles a new state of the platform's VM list.
   *
   * @param listed the VMs on the list
   */
  public void vmListUpdated(Set<VmId> listed) {
    worker.offer(new QuotaEvent.VmListUpdated(listed));
  }

  /** Performs the work that is due at the current time. */
  public void tick() {
    worker.offer(new QuotaEvent.Tick());
  }

  /**
   * Releases all slots of this VM.
   *
   * @param callback called when the release has been read back from the log
   */
  public void releaseSlots(Runnable callback) {
    if (!worker.offer(new QuotaEvent.Stop(callback))) {
      callback.run();
    }
  }

  @Override
  public void requestTokens(TokenRequest request, Consumer<TokenGrant> reply) {
    if (!worker.offer(new QuotaEvent.EntryRequest(request, reply))) {
      reply.accept(new TokenGrant(request.id(), request.customer(), 0, BUSY_RETRY_AFTER_MS));
    }
  }

  @Override
  public void returnTokens(TokenReturn tokens) {
    worker.offer(new QuotaEvent.EntryReturn(tokens));
  }

  @Override
  public void requestTransfer(VmId from, TransferRequest request, Consumer<Transfer> reply) {
    if (!worker.offer(new QuotaEvent.PeerRequest(from, request, reply))) {
      reply.accept(new Transfer(request.id(), request.customer(), 0));
    }
  }

  @Override
  public void close() {
    worker.close();
  }

  private void handle(QuotaEvent event) {
    long now = clock.nowMs();
    if (event instanceof QuotaEvent.Stream s) {
      handler.handle(s.event());
      run(stateMachine.takeActions());
    } else if (event instanceof QuotaEvent.ConfigurationChanged c) {
      run(stateMachine.configuration(c.configuration(), now));
    } else if (event instanceof QuotaEvent.MembersChanged m) {
      applyMembers(m.view(), now);
    } else if (event instanceof QuotaEvent.VmListUpdated l) {
      applyVmList(l.listed(), now);
    } else if (event instanceof QuotaEvent.EntryRequest r) {
      entryRequest(r, now);
    } else if (event instanceof QuotaEvent.EntryReturn r) {
      run(stateMachine.controller().entryReturned(r.tokens().customer(), r.tokens().tokens(), now));
    } else if (event instanceof QuotaEvent.PeerRequest r) {
      peerRequest(r, now);
    } else if (event instanceof QuotaEvent.PeerTransfer t) {
      Transfer transfer = t.transfer();
      run(
          stateMachine
              .controller()
              .transferReceived(transfer.id(), transfer.customer(), transfer.tokens(), now));
    } else if (event instanceof QuotaEvent.AppendFinished a) {
      run(stateMachine.controller().appendFinished(a.tag(), a.result(), now));
    } else if (event instanceof QuotaEvent.Tick) {
      run(stateMachine.controller().tick(now));
    } else if (event instanceof QuotaEvent.Stop s) {
      stopCallback = Optional.of(s.callback());
      run(stateMachine.controller().stop(now));
    }
    if (stopCallback.isPresent() && !stateMachine.holdsSlots()) {
      stopCallback.get().run();
      stopCallback = Optional.empty();
    }
  }

  private void applyMembers(MembershipView view, long now) {
    members = view;
    Map<VmId, FailureDomain> live = new HashMap<>();
    for (MemberView v : view.members()) {
      if (v.live()) {
        live.put(v.member().vm(), v.member().failureDomain());
      }
    }
    run(stateMachine.members(live, now));
  }

  private void applyVmList(Set<VmId> listed, long now) {
    Set<VmId> missing = new HashSet<>(stateMachine.holders());
    missing.removeAll(listed);
    for (VmId vm : missing) {
      run(stateMachine.controller().vmGone(vm, now));
    }
  }

  // Several entry programs may use the same request ids, so the controller gets ids assigned here.
  private void entryRequest(QuotaEvent.EntryRequest r, long now) {
    long id = ++lastRequestId;
    entryReplies.put(id, new EntryReply(r.request().id(), r.reply()));
    TokenRequest request = r.request();
    run(stateMachine.controller().entryRequested(id, request.customer(), request.tokens(), now));
  }

  private void peerRequest(QuotaEvent.PeerRequest r, long now) {
    transferReply = Optional.of(r.reply());
    TransferRequest request = r.request();
    run(
        stateMachine
            .controller()
            .transferRequested(r.from(), request.id(), request.customer(), request.tokens(), now));
    transferReply = Optional.empty();
  }

  private void run(List<QuotaAction> actions) {
    for (QuotaAction action : actions) {
      if (action instanceof QuotaAction.AppendShare a) {
        appender.append(
            Json.encode(a.record()), r -> worker.offer(new QuotaEvent.AppendFinished(a.tag(), r)));
      } else if (action instanceof QuotaAction.GrantToEntry g) {
        sendGrant(g);
      } else if (action instanceof QuotaAction.SendTransferRequest a) {
        requestTransferFromPeer(a);
      } else if (action instanceof QuotaAction.SendTransfer s) {
        transferReply.ifPresent(p -> p.accept(new Transfer(s.id(), s.customer(), s.tokens())));
      }
    }
  }

  private void sendGrant(QuotaAction.GrantToEntry g) {
    EntryReply reply = entryReplies.remove(g.id());
    if (reply != null) {
      reply
          .callback()
          .accept(new TokenGrant(reply.requestId(), g.customer(), g.tokens(), g.retryAfterMs()));
    }
  }

  private void requestTransferFromPeer(QuotaAction.SendTransferRequest a) {
    Optional<String> address = members.address(a.vm());
    if (address.isEmpty()) {
      worker.offer(new QuotaEvent.PeerTransfer(new Transfer(a.id(), a.customer(), 0)));
      return;
    }
    peers.request(
        address.get(),
        new TransferRequest(a.id(), a.customer(), a.tokens()),
        TRANSFER_TIMEOUT,
        m -> {
          if (m instanceof Transfer t) {
            worker.offer(new QuotaEvent.PeerTransfer(t));
          }
        },
        reason -> logger.atFine().log("token transfer from %s failed: %s", a.vm(), reason));
  }

  private record EntryReply(long requestId, Consumer<TokenGrant> callback) {}
}
