package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.message.EntryMessage.IntentOutcome;
import io.kumquatspindle.api.message.EntryMessage.IntentReply;
import io.kumquatspindle.api.message.EntryMessage.IntentVerdict;
import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.ExecutionStatus;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.control.ControlClient;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Records an {@code Idempotency-Key} before the call is sent, and its outcome afterwards. */
final class IdempotencyFilter implements RequestFilter {
  private static final String HEADER = "idempotency-key";
  private static final int MAX_KEY_LENGTH = 255;

  // Allows for a group commit and one slow append to the log.
  private static final long TIMEOUT_MS = 2_000;

  private final ControlClient control;
  private final MonotonicClock clock;
  private final Executor executor;

  IdempotencyFilter(ControlClient control, MonotonicClock clock, Executor executor) {
    this.control = control;
    this.clock = clock;
    this.executor = executor;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    Optional<String> key = context.request().header(HEADER);
    if (key.isEmpty()) {
      next.accept(context);
      return;
    }
    if (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH || context.caller().isEmpty()) {
      String message =
          "Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters and needs a key";
      context.fail(RequestError.of(ErrorKind.MALFORMED_REQUEST, message));
      return;
    }
    recordKey(context, key.get(), next);
  }

  private void recordKey(RequestContext context, String key, Consumer<RequestContext> next) {
    CustomerName customer = context.caller().orElseThrow().customer().name();
    long remainingMs = Math.max(1, context.deadlineMs() - clock.nowMs());
    CompletableFuture<IntentReply> recorded =
        control.recordIntent(customer, key, digest(context.request()));
    recorded
        .copy()
        .orTimeout(Math.min(TIMEOUT_MS, remainingMs), TimeUnit.MILLISECONDS)
        .whenCompleteAsync(
            (reply, failure) -> {
              if (failure == null) {
                handleReply(context, customer, key, reply, next);
              } else {
                failUnavailable(context);
                recorded.thenAccept(late -> reportNotRun(customer, key, late));
              }
            },
            executor);
  }

  private void handleReply(
      RequestContext context,
      CustomerName customer,
      String key,
      IntentReply reply,
      Consumer<RequestContext> next) {
    switch (reply.verdict()) {
      case FIRST -> {
        context.reply().onEnd(o -> reportOutcome(customer, key, reply.nonce(), o));
        next.accept(context);
      }
      case DUPLICATE -> context.fail(RequestError.of(duplicateKind(reply.ran()), message(reply)));
      case MISMATCH ->
          context.fail(
              RequestError.of(
                  ErrorKind.IDEMPOTENCY_KEY_REUSED,
                  "the Idempotency-Key was used for another request"));
      default -> failUnavailable(context);
    }
  }

  private void reportOutcome(CustomerName customer, String key, String nonce, Outcome outcome) {
    control.reportOutcome(new IntentOutcome(customer, key, nonce, outcome.ran(), outcome.status()));
  }

  // The request has already been rejected, so the key that was recorded late must not block a
  // retry.
  private void reportNotRun(CustomerName customer, String key, IntentReply late) {
    if (late.verdict() == IntentVerdict.FIRST) {
      control.reportOutcome(
          new IntentOutcome(customer, key, late.nonce(), ExecutionStatus.NOT_RUN, 0));
    }
  }

  private static void failUnavailable(RequestContext context) {
    String message = "the Idempotency-Key cannot be recorded now";
    context.fail(RequestError.of(ErrorKind.IDEMPOTENCY_UNAVAILABLE, message));
  }

  private static ErrorKind duplicateKind(ExecutionStatus ran) {
    return switch (ran) {
      case NOT_RUN -> ErrorKind.DUPLICATE_NOT_RUN;
      case RAN -> ErrorKind.DUPLICATE_RAN;
      case UNKNOWN -> ErrorKind.DUPLICATE_UNKNOWN;
    };
  }

  private static String message(IntentReply reply) {
    String status = reply.status() == 0 ? "" : ", which was answered with " + reply.status();
    return "the Idempotency-Key was used for an earlier call" + status;
  }

  private static String digest(IncomingRequest request) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      String head = request.method() + " " + request.path() + "?" + request.query() + "\n";
      sha.update(head.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sha.digest(request.body()));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must provide it", e);
    }
  }
}
