package io.kumquatspindle.entry.control;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.ConfigUpdate;
import io.kumquatspindle.api.message.EntryMessage.EndpointLoads;
import io.kumquatspindle.api.message.EntryMessage.EntryHello;
import io.kumquatspindle.api.message.EntryMessage.Freshness;
import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentRequest;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.PlacementUpdate;
import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.message.EntryMessage.TokenRequest;
import io.kumquatspindle.api.message.EntryMessage.TokenReturn;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.time.MonotonicClock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The message exchange with control, independent of the transport.
 *
 * <p>The owner of the connection calls {@link #connected}, {@link #received} and {@link
 * #disconnected}. The session may move from one control program to another. A configuration from a
 * control program that lags behind never replaces a newer one.
 */
public final class ControlSession implements ControlClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryHello hello;
  private final ControlState controlState;
  private final MonotonicClock clock;
  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, CompletableFuture<TokenGrant>> pendingGrants = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<IntentReply>> pendingIntents =
      new ConcurrentHashMap<>();
  private final List<Consumer<ModelOutlook>> outlookListeners = new CopyOnWriteArrayList<>();
  private volatile Predicate<EntryMessage> sender = m -> false;

  /**
   * Creates a session that is not connected.
   *
   * @param hello first message on each connection
   * @param controlState updated with the messages from control
   * @param clock the clock
   */
  public ControlSession(EntryHello hello, ControlState controlState, MonotonicClock clock) {
    this.hello = hello;
    this.controlState = controlState;
    this.clock = clock;
  }

  /**
   * Switches to a new connection, and sends the hello message on it.
   *
   * @param newSender sends a message; returns false if the connection does not accept it
   */
  public void connected(Predicate<EntryMessage> newSender) {
    failPending();
    if (newSender.test(hello)) {
      sender = newSender;
    }
  }

  /** Drops the connection; requests without a response fail. */
  public void disconnected() {
    sender = m -> false;
    failPending();
  }

  /**
   * Registers a listener for the outlook of wanted models.
   *
   * @param listener called on the thread that receives the message; must not block
   */
  public void onOutlook(Consumer<ModelOutlook> listener) {
    outlookListeners.add(listener);
  }

  /**
   * Handles a message from control.
   *
   * @param message the decoded message
   */
  public void received(EntryMessage message) {
    long now = clock.nowMs();
    if (message instanceof ConfigUpdate update) {
      controlState.configuration().update(update, now);
    } else if (message instanceof Freshness freshness) {
      controlState.configuration().confirm(freshness, now);
    } else if (message instanceof PlacementUpdate update) {
      controlState.placement().update(update);
    } else if (message instanceof EndpointLoads loads) {
      controlState.loads().update(loads, now);
    } else if (message instanceof ModelOutlook outlook) {
      outlookListeners.forEach(l -> l.accept(outlook));
    } else if (message instanceof TokenGrant grant) {
      complete(pendingGrants.remove(grant.id()), grant);
    } else if (message instanceof IntentReply reply) {
      complete(pendingIntents.remove(reply.id()), reply);
    } else {
      logger.atWarning().log(
          "ignored unexpected message from control: %s", message.getClass().getSimpleName());
    }
  }

  @Override
  public CompletableFuture<TokenGrant> requestTokens(CustomerName customer, long tokens) {
    long id = ids.incrementAndGet();
    return sendRequest(pendingGrants, id, new TokenRequest(id, customer, tokens));
  }

  @Override
  public boolean returnTokens(CustomerName customer, long tokens) {
    return sender.test(new TokenReturn(customer, tokens));
  }

  @Override
  public void reportModelWanted(ModelWanted wanted) {
    sendOrDrop(wanted);
  }

  @Override
  public CompletableFuture<IntentReply> recordIntent(
      CustomerName customer, String key, String requestDigest) {
    long id = ids.incrementAndGet();
    return sendRequest(pendingIntents, id, new IntentRequest(id, customer, key, requestDigest));
  }

  @Override
  public void reportOutcome(IntentOutcome outcome) {
    sendOrDrop(outcome);
  }

  @Override
  public void reportUsage(ModelUse use) {
    sendOrDrop(use);
  }

  private void sendOrDrop(EntryMessage message) {
    if (!sender.test(message)) {
      logger.atFine().log(
          "not connected to control, dropped %s", message.getClass().getSimpleName());
    }
  }

  private <T> CompletableFuture<T> sendRequest(
      Map<Long, CompletableFuture<T>> pending, long id, EntryMessage message) {
    CompletableFuture<T> future = new CompletableFuture<>();
    pending.put(id, future);
    if (!sender.test(message)) {
      pending.remove(id);
      future.completeExceptionally(new ControlUnreachableException());
    }
    return future;
  }

  private static <T> void complete(CompletableFuture<T> future, T value) {
    // A duplicate response is dropped, so that granted tokens are not counted twice.
    if (future != null) {
      future.complete(value);
    }
  }

  private void failPending() {
    fail(pendingGrants);
    fail(pendingIntents);
  }

  private static <T> void fail(Map<Long, CompletableFuture<T>> pending) {
    for (Long id : List.copyOf(pending.keySet())) {
      CompletableFuture<T> future = pending.remove(id);
      if (future != null) {
        future.completeExceptionally(new ControlUnreachableException());
      }
    }
  }
}
