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
 * The conversation with control, independent of how frames are carried.
 *
 * <p>Whoever owns the connection calls {@link #connected}, {@link #received} and {@link
 * #disconnected}. The session may move from one control to another; state that an older control
 * sends never replaces newer state.
 */
public final class ControlSession implements ControlClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EntryHello hello;
  private final Views views;
  private final MonotonicClock clock;
  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, CompletableFuture<TokenGrant>> grants = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<IntentReply>> intents = new ConcurrentHashMap<>();
  private final List<Consumer<ModelOutlook>> outlooks = new CopyOnWriteArrayList<>();
  private volatile Predicate<EntryMessage> out = m -> false;

  /**
   * Creates a session that is not connected.
   *
   * @param hello first message on each connection
   * @param views state that control's messages replace
   * @param clock the clock
   */
  public ControlSession(EntryHello hello, Views views, MonotonicClock clock) {
    this.hello = hello;
    this.views = views;
    this.clock = clock;
  }

  /**
   * Uses a new connection and says hello on it.
   *
   * @param sender sends a message; returns false if the connection does not take it
   */
  public void connected(Predicate<EntryMessage> sender) {
    failPending();
    if (sender.test(hello)) {
      out = sender;
    }
  }

  /** Forgets the connection; requests that wait for an answer fail. */
  public void disconnected() {
    out = m -> false;
    failPending();
  }

  /**
   * Subscribes to what becomes of wanted models.
   *
   * @param listener called on the thread that receives; must not block
   */
  public void onOutlook(Consumer<ModelOutlook> listener) {
    outlooks.add(listener);
  }

  /**
   * Handles a message from control.
   *
   * @param message the decoded message
   */
  public void received(EntryMessage message) {
    long now = clock.nowMs();
    if (message instanceof ConfigUpdate update) {
      views.configuration().update(update, now);
    } else if (message instanceof Freshness freshness) {
      views.configuration().confirm(freshness, now);
    } else if (message instanceof PlacementUpdate update) {
      views.placement().update(update);
    } else if (message instanceof EndpointLoads loads) {
      views.loads().update(loads, now);
    } else if (message instanceof ModelOutlook outlook) {
      outlooks.forEach(l -> l.accept(outlook));
    } else if (message instanceof TokenGrant grant) {
      complete(grants.remove(grant.id()), grant);
    } else if (message instanceof IntentReply reply) {
      complete(intents.remove(reply.id()), reply);
    } else {
      logger.atWarning().log("unexpected message: %s", message.getClass().getSimpleName());
    }
  }

  @Override
  public CompletableFuture<TokenGrant> askTokens(CustomerName customer, long tokens) {
    long id = ids.incrementAndGet();
    return ask(grants, id, new TokenRequest(id, customer, tokens));
  }

  @Override
  public boolean returnTokens(CustomerName customer, long tokens) {
    return out.test(new TokenReturn(customer, tokens));
  }

  @Override
  public void wanted(ModelWanted wanted) {
    sendOrDrop(wanted);
  }

  @Override
  public CompletableFuture<IntentReply> recordIntent(
      CustomerName customer, String key, String requestDigest) {
    long id = ids.incrementAndGet();
    return ask(intents, id, new IntentRequest(id, customer, key, requestDigest));
  }

  @Override
  public void reportOutcome(IntentOutcome outcome) {
    sendOrDrop(outcome);
  }

  @Override
  public void reportUse(ModelUse use) {
    sendOrDrop(use);
  }

  private void sendOrDrop(EntryMessage message) {
    if (!out.test(message)) {
      logger.atFine().log("not connected, dropped %s", message.getClass().getSimpleName());
    }
  }

  private <T> CompletableFuture<T> ask(
      Map<Long, CompletableFuture<T>> pending, long id, EntryMessage message) {
    CompletableFuture<T> future = new CompletableFuture<>();
    pending.put(id, future);
    if (!out.test(message)) {
      pending.remove(id);
      future.completeExceptionally(new ControlUnreachableException());
    }
    return future;
  }

  private static <T> void complete(CompletableFuture<T> future, T value) {
    // A second answer to the same request is dropped; tokens must not be counted twice.
    if (future != null) {
      future.complete(value);
    }
  }

  private void failPending() {
    fail(grants);
    fail(intents);
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
