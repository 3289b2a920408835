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

/** Token accounts of all customers on this VM, refilled from control. */
public final class TokenAccounts {
  /** Period of {@link #tick}; a refill covers the demand of one period. */
  public static final long TICK_MS = 250;

  /**
   * Longest time that a request waits for an answer of control, in milliseconds. Entry goes to
   * another control 2 s after its own has become unreachable; a shorter wait refuses requests
   * within the rate then.
   */
  static final long MAX_NO_RESPONSE_WAIT_MS = 2_500;

  /**
   * Longest time that a request waits for a shortage to end, in milliseconds. The tokens may be on
   * their way from another VM, and a refusal would hit a customer that is inside its rate.
   */
  static final long MAX_SHORTAGE_WAIT_MS = 800;

  // Less than control counts them as out, for the time that the grant is on its way.
  private static final long GRANT_VALID_MS = QuotaSettings.DEFAULT.grantValidMs() - 10;

  // A question that control has not answered by then is asked again, since its grant has ended.
  private static final long REQUEST_TIMEOUT_MS = GRANT_VALID_MS;

  private static final long REQUEST_RETRY_MS = 100;

  // Told to a caller whose tokens control could not say anything about.
  private static final long DEFAULT_RETRY_AFTER_MS = 1_000;

  /** Longest time told to a caller, in ms; shares of the rate are dealt anew in less. */
  static final long MAX_RETRY_AFTER_MS = 60_000;

  private static final Shortage NO_RESPONSE = new Shortage(REQUEST_RETRY_MS, true);

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
   * Takes tokens, after questions to control if the account is dry.
   *
   * @param customer the customer
   * @param tokens tokens to take, at least 0
   * @param limitMs longest time to wait, in milliseconds
   * @return completes with empty when they are taken, or with the time after which the caller may
   *     try again, in milliseconds; never fails
   */
  public CompletableFuture<Optional<Long>> acquire(
      CustomerName customer, long tokens, long limitMs) {
    CompletableFuture<Optional<Long>> result = new CompletableFuture<>();
    tryAcquire(new AcquireRequest(customer, tokens, limitMs, result), 0);
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
    long maxWaitMs =
        Math.min(
            request.limitMs(),
            shortage.noResponse() ? MAX_NO_RESPONSE_WAIT_MS : MAX_SHORTAGE_WAIT_MS);
    // Control says Long.MAX_VALUE when it does not know a time, so the sum could overflow.
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
      // A full grant can have served an earlier request, whose own grant is still on its way.
      requestGrant(customer, account, account.shortfall(pending))
          .thenAccept(s -> s.ifPresent(x -> account.reject(pending, x, clock.nowMs())));
      Shortage late = new Shortage(REQUEST_TIMEOUT_MS, true);
      delayed(REQUEST_TIMEOUT_MS).execute(() -> account.reject(pending, late, clock.nowMs()));
    }
    return pending.result();
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

  // Completes with empty after a full grant. A grant that comes late is added to the account too,
  // from where it goes back to control.
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
      CustomerName customer, long tokens, long limitMs, CompletableFuture<Optional<Long>> result) {}
}
