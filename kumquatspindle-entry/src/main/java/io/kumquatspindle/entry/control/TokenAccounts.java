package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.quota.QuotaSettings;
import io.kumquatspindle.entry.control.TokenAccount.Taker;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Token accounts of all customers on this VM, refilled from control. */
public final class TokenAccounts {
  /** Time that a request waits for control's answer, in milliseconds; a grant ends after it. */
  static final long ASK_TIMEOUT_MS = 290;

  /** Longest time that a request waits for a shortage to end, in milliseconds. */
  static final long MAX_WAIT_MS = 800;

  /** Period of {@link #tick}; a refill covers the demand of one period. */
  public static final long TICK_MS = 250;

  // Told to a caller whose tokens control could not say anything about.
  private static final long RETRY_AFTER_MS = 1_000;

  // Less than control counts them as out, for the time that the grant is on its way.
  private static final long GRANT_VALID_MS = QuotaSettings.DEFAULT.grantValidMs() - 10;

  private final ControlClient control;
  private final MonotonicClock clock;
  private final Map<CustomerName, TokenAccount> accounts = new ConcurrentHashMap<>();

  /**
   * Creates empty accounts.
   *
   * @param control where tokens come from
   * @param clock the clock
   */
  public TokenAccounts(ControlClient control, MonotonicClock clock) {
    this.control = control;
    this.clock = clock;
  }

  /**
   * Takes tokens, after a question to control if the account is dry.
   *
   * @param customer the customer
   * @param tokens tokens to take, at least 0
   * @return completes with empty when they are taken, or with the time after which the caller may
   *     try again, in milliseconds; never fails
   */
  public CompletableFuture<Optional<Long>> take(CustomerName customer, long tokens) {
    CompletableFuture<Optional<Long>> result = new CompletableFuture<>();
    attempt(customer, tokens, clock.nowMs() + MAX_WAIT_MS, result);
    return result;
  }

  // A shortage that ends soon is waited for: the tokens may be on their way from another VM, and a
  // refusal would hit a customer that is inside its rate.
  private void attempt(
      CustomerName customer, long tokens, long untilMs, CompletableFuture<Optional<Long>> result) {
    takeOnce(customer, tokens)
        .thenAccept(
            shortage -> {
              long retryMs = shortage.orElse(0L);
              if (shortage.isEmpty() || clock.nowMs() + retryMs > untilMs) {
                result.complete(shortage);
              } else {
                CompletableFuture.delayedExecutor(retryMs, TimeUnit.MILLISECONDS)
                    .execute(() -> attempt(customer, tokens, untilMs, result));
              }
            });
  }

  private CompletableFuture<Optional<Long>> takeOnce(CustomerName customer, long tokens) {
    TokenAccount account = account(customer);
    Taker taker = account.take(tokens, clock.nowMs());
    if (taker.taken().isDone()) {
      refill(customer, account);
    } else {
      CompletableFuture<Optional<Long>> shortage = ask(customer, account, account.missing(taker));
      // A full grant can have served an earlier request, whose own grant is still on its way.
      shortage.thenAccept(
          s -> s.ifPresent(retryMs -> account.refuse(taker, retryMs, clock.nowMs())));
      CompletableFuture.delayedExecutor(ASK_TIMEOUT_MS, TimeUnit.MILLISECONDS)
          .execute(() -> account.refuse(taker, RETRY_AFTER_MS, clock.nowMs()));
    }
    return taker.taken();
  }

  /**
   * Puts tokens back that a request did not use, or takes those that it used in excess.
   *
   * @param customer the customer
   * @param tokens unused tokens; negative for an excess
   */
  public void settle(CustomerName customer, long tokens) {
    account(customer).settle(tokens);
  }

  /** Returns unused and expired tokens to control; call it each {@link #TICK_MS}. */
  public void tick() {
    accounts.forEach(
        (customer, account) -> giveBack(customer, account, account.takeReturns(clock.nowMs())));
  }

  /** Returns all tokens to control. */
  public void returnAll() {
    accounts.forEach((customer, account) -> giveBack(customer, account, account.takeAll()));
  }

  private void giveBack(CustomerName customer, TokenAccount account, long tokens) {
    if (tokens != 0 && !control.returnTokens(customer, tokens)) {
      account.settle(tokens);
    }
  }

  private void refill(CustomerName customer, TokenAccount account) {
    long tokens = account.startRefill();
    if (tokens > 0) {
      ask(customer, account, tokens).whenComplete((shortage, e) -> account.endRefill());
    }
  }

  // Completes with empty after a full grant, otherwise with the time after which to try again. A
  // grant that comes after the requests' timeout is added to the account too.
  private CompletableFuture<Optional<Long>> ask(
      CustomerName customer, TokenAccount account, long tokens) {
    long until = clock.nowMs() + GRANT_VALID_MS;
    return control
        .askTokens(customer, tokens)
        .thenApply(grant -> credit(account, grant, tokens, until))
        .exceptionally(e -> Optional.of(RETRY_AFTER_MS));
  }

  private Optional<Long> credit(TokenAccount account, TokenGrant grant, long asked, long until) {
    account.give(grant.tokens(), until, clock.nowMs());
    boolean full = grant.tokens() >= asked;
    return full ? Optional.empty() : Optional.of(Math.max(1, grant.retryAfterMs()));
  }

  private TokenAccount account(CustomerName customer) {
    return accounts.computeIfAbsent(customer, c -> new TokenAccount());
  }
}
