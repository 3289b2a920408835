package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.control.AuthenticationResult;
import io.kumquatspindle.entry.control.TokenAccounts;
import io.kumquatspindle.entry.observe.EntryMetrics;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Reserves the estimated tokens in the customer's account, and settles the actual use at the end.
 */
final class QuotaFilter implements RequestFilter {
  private final TokenAccounts accounts;
  private final EntryMetrics metrics;
  private final MonotonicClock clock;
  private final Executor executor;

  QuotaFilter(
      TokenAccounts accounts, EntryMetrics metrics, MonotonicClock clock, Executor executor) {
    this.accounts = accounts;
    this.metrics = metrics;
    this.clock = clock;
    this.executor = executor;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    Optional<CustomerSpec> customer = context.caller().map(AuthenticationResult.Accepted::customer);
    long tokens = estimate(context.target().orElseThrow());
    if (customer.isEmpty() || tokens == 0) {
      next.accept(context);
      return;
    }
    if (tokens > customer.get().burstTokens()) {
      String message =
          "the request needs " + tokens + " tokens, the burst is " + customer.get().burstTokens();
      context.fail(RequestError.of(ErrorKind.OVER_BURST, message));
      return;
    }
    acquire(context, customer.get(), tokens, next);
  }

  static long estimate(Target target) {
    return target.fold(
        c -> c.promptTokens() + c.maxTokens(), s -> s.spec().tokensPerCall(), l -> 0L);
  }

  private void acquire(
      RequestContext context, CustomerSpec customer, long tokens, Consumer<RequestContext> next) {
    long remainingMs = Math.max(1, context.deadlineMs() - clock.nowMs());
    var acquired = accounts.acquire(customer.name(), tokens, remainingMs);
    if (acquired.isDone()) {
      admit(context, customer, tokens, acquired.join(), next);
    } else {
      acquired.thenAcceptAsync(r -> admit(context, customer, tokens, r, next), executor);
    }
  }

  private void admit(
      RequestContext context,
      CustomerSpec customer,
      long tokens,
      Optional<Long> retryAfterMs,
      Consumer<RequestContext> next) {
    if (retryAfterMs.isPresent()) {
      String message = "the customer's rate is used up";
      context.fail(new RequestError(ErrorKind.OVER_RATE, message, retryAfterMs.get()));
      return;
    }
    context.reply().onEnd(o -> settle(context, customer, tokens));
    next.accept(context);
  }

  private void settle(RequestContext context, CustomerSpec customer, long reserved) {
    long used = context.tokenUsage().tokens();
    accounts.settle(customer.name(), reserved - used);
    metrics.countTokens(used);
  }
}
