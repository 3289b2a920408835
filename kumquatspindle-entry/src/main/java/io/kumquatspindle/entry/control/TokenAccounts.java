package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.entry.control.TokenAccount.Taker;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Token accounts of all customers on this VM, refilled from control. */
public final class TokenAccounts {
  /**
   * Longest time that a request waits for tokens, in milliseconds. Entry goes to another control 2
   * s after its own has become unreachable; a shorter wait refuses requests within the rate then.
   */
  static final long MAX_WAIT_MS = 2_500;

  // A question that found no control is asked again after this time.
  private static final long ASK_AGAIN_MS = 100;

  /** Period of {@link #tick}; a refill covers the demand of one period. */
  public static final long TICK_MS = 250;

  // Told to a caller whose tokens control could not say anything about.
  private static final long RETRY_AFTER_MS = 1_000;

  private final ControlClient control;
  private final Map<CustomerName, TokenAccount> accounts = new ConcurrentHashMap<>();

  /**
   * Creates empty accounts.
   *
   * @param control where tokens come from
   */
  public TokenAccounts(ControlClient control) {
    this.control = control;
  }

  /**
   * Takes tokens, after a question to control if the account is dry.
   *
   * @param customer the customer
   * @param tokens tokens to take, at least 0
   * @param limitMs time until the request's deadline, in milliseconds
   * @return completes with empty when they are taken, or with the time after which the caller may
   *     try again, in milliseconds; never fails
   */
  public CompletableFuture<Optional<Long>> take(CustomerName customer, long tokens, long limitMs) {
    TokenAccount account = account(customer);
    Taker taker = account.take(tokens);
    if (taker.taken().isDone()) {
      refill(customer, account);
    } else {
      askFor(customer, account, taker);
      long waitMs = Math.min(limitMs, MAX_WAIT_MS);
      CompletableFuture.delayedExecutor(waitMs, TimeUnit.MILLISECONDS)
          .execute(() -> account.refuse(taker, RETRY_AFTER_MS));
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
    account(customer).give(tokens);
  }

  /** Returns what is not needed here to control; call it each {@link #TICK_MS}. */
  public void tick() {
    accounts.forEach((customer, account) -> giveBack(customer, account, account.takeSurplus()));
  }

  /** Returns all tokens to control. */
  public void returnAll() {
    accounts.forEach((customer, account) -> giveBack(customer, account, account.takeAll()));
  }

  private void giveBack(CustomerName customer, TokenAccount account, long tokens) {
    if (tokens != 0 && !control.returnTokens(customer, tokens)) {
      account.give(tokens);
    }
  }

  private void refill(CustomerName customer, TokenAccount account) {
    long tokens = account.startRefill();
    if (tokens > 0) {
      ask(customer, account, tokens).whenComplete((shortage, e) -> account.endRefill());
    }
  }

  private void askFor(CustomerName customer, TokenAccount account, Taker taker) {
    long tokens = account.missing(taker);
    control
        .askTokens(customer, tokens)
        .whenComplete(
            (grant, failure) -> {
              if (failure != null) {
                CompletableFuture.delayedExecutor(ASK_AGAIN_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> askAgain(customer, account, taker));
              } else {
                // A full grant can have served an earlier request, whose own is still on its way.
                credit(account, grant, tokens).ifPresent(ms -> account.refuse(taker, ms));
              }
            });
  }

  private void askAgain(CustomerName customer, TokenAccount account, Taker taker) {
    if (!taker.taken().isDone()) {
      askFor(customer, account, taker);
    }
  }

  // Completes with empty after a full grant, otherwise with the time after which to try again. A
  // grant that comes after the requests' timeout is added to the account too.
  private CompletableFuture<Optional<Long>> ask(
      CustomerName customer, TokenAccount account, long tokens) {
    return control
        .askTokens(customer, tokens)
        .thenApply(grant -> credit(account, grant, tokens))
        .exceptionally(e -> Optional.of(RETRY_AFTER_MS));
  }

  private static Optional<Long> credit(TokenAccount account, TokenGrant grant, long asked) {
    account.give(grant.tokens());
    boolean full = grant.tokens() >= asked;
    return full ? Optional.empty() : Optional.of(Math.max(1, grant.retryAfterMs()));
  }

  private TokenAccount account(CustomerName customer) {
    return accounts.computeIfAbsent(customer, c -> new TokenAccount());
  }
}
