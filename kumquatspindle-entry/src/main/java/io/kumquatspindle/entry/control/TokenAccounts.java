package io.kumquatspindle.entry.control;

import io.kumquatspindle.api.message.EntryMessage.TokenGrant;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.engine.quota.QuotaSettings;
import io.kumquatspindle.entry.control.TokenAccount.PendingAcquire;
import io.kumquatspindle.entry.control.TokenAccount.Shortage;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** The token accounts of all customers on this VM, refilled from control. */
public final class TokenAccounts {
  /** Period of {@link #tick}; a refill covers the demand of one period. */
  public static final long TICK_MS = 250;

  /**
   * Longest time that a request waits for a response from control, in milliseconds. The entry
   * program fails over to another control program 2 s after the local one has become unreachable;
   * with a shorter wait, requests within the rate would be rejected during a failover.
   */
  static final long MAX_NO_RESPONSE_WAIT_MS = 2_500;

  /**
   * Longest time that a request waits while control has too few tokens, in milliseconds. Tokens may
   * be in transfer from another VM, so an immediate rejection could affect a customer within its
   * rate.
   */
  static final long MAX_SHORTAGE_WAIT_MS = 800;

  // Shorter than the validity at control, to allow for the transfer time of the grant.
  private static final long GRANT_VALID_MS = QuotaSettings.DEFAULT.grantValidMs() - 10;

  // A request without a response is repeated after this time, since its grant would have expired.
  private static final long REQUEST_TIMEOUT_MS = GRANT_VALID_MS;

  private static final long REQUEST_RETRY_MS = 100;

  // Sent to callers when control did not respond.
  private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

  /** Longest retry time sent to callers, in ms; shares of the rate are reassigned more often. */
  static final long MAX_RETRY_AFTER_MS = 60_000;

  private static final Shortage NO_RESPONSE = new Shortage(REQUEST_RETRY_MS, true);

  private final ControlClient control;
  private final MonotonicClock clock;
  private final Map<CustomerName, TokenAccount> accounts = new ConcurrentHashMap<>();

  /**
   * Creates empty accounts.
   *
   * @param control grants tokens
   * @param clock the clock
   */
  public TokenAccounts(ControlClient control, MonotonicClock clock) {
    this.control = control;
    this.clock = clock;
  }

  /**
   * Takes tokens from an account, and requests more from control if there are too few.
   *
   * @param customer the customer
   * @param tokens tokens to take, at least 0
   * @param limitMs longest time to wait, in milliseconds
   * @return completes with empty when the tokens have been taken, or with the time after which the
   *     caller may try again, in milliseconds; never fails
   */
  public CompletableFuture<Optional<Long>> acquire(
      CustomerName customer, long tokens, long limitMs) {
    CompletableFuture<Optional<Long>> result = new CompletableFuture<>();
    tryAcquire(new AcquireRequest(customer, tokens, clock.nowMs() + limitMs, result), 0);
    return result;
  }

  private void tryAcquire(AcquireRequest request, long waitedMs) {
    acquireOnce(request.customer(), request.tokens())
        .thenAccept(
            shortage ->
                shortage.ifPresentOrElse(
                    s -> retryOrReject(request, waitedMs, s),
                    () -> request.result().complete(Optional.empty())));
  }

  private void retryOrReject(AcquireRequest request, long waitedMs, Shortage shortage) {
    // The limit includes the time for which control has not responded.
    long maxWaitMs =
        Math.min(
            waitedMs + request.untilMs() - clock.nowMs(),
            shortage.noResponse() ? MAX_NO_RESPONSE_WAIT_MS : MAX_SHORTAGE_WAIT_MS);
    // Control sends Long.MAX_VALUE if it does not know a time, so that adding waitedMs would
    // overflow.
    if (shortage.retryAfterMs() <= maxWaitMs - waitedMs) {
      delayed(shortage.retryAfterMs())
          .execute(() -> tryAcquire(request, waitedMs + shortage.retryAfterMs()));
    } else {
      long retryAfterMs =
          shortage.noResponse()
              ? DEFAULT_RETRY_AFTER_MS
              : Math.min(shortage.retryAfterMs(), MAX_RETRY_AFTER_MS);
      request.result().complete(Optional.of(retryAfterMs));
    }
  }

  private CompletableFuture<Optional<Shortage>> acquireOnce(CustomerName customer, long tokens) {
    TokenAccount account = account(customer);
    PendingAcquire pending = account.acquire(tokens, clock.nowMs());
    if (pending.result().isDone()) {
      refill(customer, account);
    } else {
      // A full grant needs no action here: its tokens may have gone to an earlier request in the
      // queue, whose own grant will then serve this one.
      requestGrant(customer, account, account.shortfall(pending))
          .thenAccept(s -> s.ifPresent(x -> account.reject(pending, x, clock.nowMs())));
      Shortage late = new Shortage(REQUEST_TIMEOUT_MS, true);
      delayed(REQUEST_TIMEOUT_MS).execute(() -> account.reject(pending, late, clock.nowMs()));
    }
    return pending.result();
  }

  /**
   * Settles the difference between the reserved and the used tokens of a finished request.
   *
   * @param customer the customer
   * @param tokens unused tokens; negative if the request used more than reserved
   */
  public void settle(CustomerName customer, long tokens) {
    account(customer).settle(tokens);
  }

  /** Returns unused and expired tokens to control; called every {@link #TICK_MS}. */
  public void tick() {
    accounts.forEach(
        (customer, account) ->
            returnToControl(customer, account, account.drainReturns(clock.nowMs())));
  }

  /** Returns all tokens to control. */
  public void returnAll() {
    accounts.forEach((customer, account) -> returnToControl(customer, account, account.drainAll()));
  }

  private void returnToControl(CustomerName customer, TokenAccount account, long tokens) {
    if (tokens != 0 && !control.returnTokens(customer, tokens)) {
      account.settle(tokens);
    }
  }

  private void refill(CustomerName customer, TokenAccount account) {
    long tokens = account.startRefill();
    if (tokens > 0) {
      requestGrant(customer, account, tokens).whenComplete((shortage, e) -> account.endRefill());
    }
  }

  // Completes with empty after a full grant. A late grant is added to the account as well, which
  // returns it to control once it has expired.
  private CompletableFuture<Optional<Shortage>> requestGrant(
      CustomerName customer, TokenAccount account, long tokens) {
    long until = clock.nowMs() + GRANT_VALID_MS;
    return control
        .requestTokens(customer, tokens)
        .thenApply(grant -> credit(account, grant, tokens, until))
        .exceptionally(e -> Optional.of(NO_RESPONSE));
  }

  private Optional<Shortage> credit(
      TokenAccount account, TokenGrant grant, long requested, long until) {
    account.credit(grant.tokens(), until, clock.nowMs());
    boolean full = grant.tokens() >= requested;
    return full
        ? Optional.empty()
        : Optional.of(new Shortage(Math.max(1, grant.retryAfterMs()), false));
  }

  private TokenAccount account(CustomerName customer) {
    return accounts.computeIfAbsent(customer, c -> new TokenAccount());
  }

  private static Executor delayed(long ms) {
    return CompletableFuture.delayedExecutor(ms, TimeUnit.MILLISECONDS);
  }

  private record AcquireRequest(
      CustomerName customer, long tokens, long untilMs, CompletableFuture<Optional<Long>> result) {}
}
