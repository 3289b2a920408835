package io.kumquatspindle.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.entry.dispatch.AttemptFailure.Cause;
import io.kumquatspindle.entry.request.RequestContext;
import io.kumquatspindle.entry.request.RequestEnvironment;
import io.kumquatspindle.entry.request.RequestError;
import io.kumquatspindle.entry.request.Target.Completion;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;

/** One exchange with an endpoint, which ends either with a response to the caller or a failure. */
final class Attempt implements Callback {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Receives the end of an attempt, exactly once. */
  interface Listener {
    /**
     * The request has ended: with a response, an error within a stream or a disconnected caller.
     */
    void completed();

    /** The attempt failed before any byte was sent to the caller. */
    void failed(AttemptFailure failure);
  }

  private final RequestContext context;
  private final EndpointSpec endpoint;
  private final AttemptHeaders headers;
  private final RunningAttempt running;
  private final RequestEnvironment env;
  private final Listener listener;
  private TimerService.Subscription deadline = () -> {};

  Attempt(
      RequestContext context,
      EndpointSpec endpoint,
      AttemptHeaders headers,
      RunningAttempt running,
      RequestEnvironment env,
      Listener listener) {
    this.context = context;
    this.endpoint = endpoint;
    this.headers = headers;
    this.running = running;
    this.env = env;
    this.listener = listener;
  }

  void start(Call call) {
    long remainingMs = Math.max(1, context.deadlineMs() - env.clock().nowMs());
    deadline =
        env.timers()
            .after(Duration.ofMillis(remainingMs), () -> running.abort(AbortReason.DEADLINE));
    call.enqueue(this);
  }

  @Override
  public void onFailure(Call call, IOException e) {
    deadline.cancel();
    context.withLogContext(() -> listener.failed(failure(e)));
  }

  @Override
  public void onResponse(Call call, Response response) {
    context.withLogContext(() -> processResponse(call, response));
  }

  private void processResponse(Call call, Response response) {
    Optional<AttemptFailure> failure;
    try (response) {
      failure = handle(call, response);
    } catch (CallerDisconnectedException e) {
      call.cancel();
      context.reply().callerDisconnected();
      failure = Optional.empty();
    } catch (IOException e) {
      call.cancel();
      failure = handleBrokenResponse(e);
    } catch (RuntimeException e) {
      call.cancel();
      logger.atSevere().withCause(e).log("attempt %s failed", headers.attemptId());
      failure = handleBrokenResponse(new IOException("internal error"));
    } finally {
      deadline.cancel();
    }
    failure.ifPresentOrElse(listener::failed, listener::completed);
  }

  private Optional<AttemptFailure> handle(Call call, Response response) throws IOException {
    Optional<AttemptFailure> failure = checkResponse(response);
    if (failure.isPresent()) {
      // The body is not read to its end.
      call.cancel();
      return failure;
    }
    Runnable firstByte =
        () -> env.metrics().recordFirstByte(env.clock().nowMs() - context.request().arrivedMs());
    if (streamedCompletion().isPresent() && response.code() == 200 && isEventStream(response)) {
      new StreamRelay(context, streamedCompletion().get(), running, env.clock())
          .relay(response.body().source(), firstByte);
      drainBody(response);
    } else {
      new BufferedRelay(context, running).relay(response, firstByte);
    }
    return Optional.empty();
  }

  // Reads the body to its end, so that the endpoint can complete its response.
  private void drainBody(Response response) {
    running.readStarted(env.clock().nowMs());
    try {
      if (!response.body().source().exhausted()) {
        logger.atWarning().log("endpoint %s sent data after the end marker", endpoint.name());
      }
    } catch (IOException e) {
      logger.atFine().log(
          "endpoint %s closed the connection after the end marker", endpoint.name());
    } finally {
      running.readFinished();
    }
  }

  private Optional<AttemptFailure> checkResponse(Response response) {
    String echoedId = response.header("x-request-id");
    boolean isEngine = endpoint.kind() == EndpointSpec.Kind.ENGINE;
    boolean idMissing = echoedId == null && isEngine && response.isSuccessful();
    if (idMissing || (echoedId != null && !echoedId.equals(headers.attemptId()))) {
      logger.atWarning().log(
          "endpoint %s answered attempt %s with a missing or wrong x-request-id",
          endpoint.name(), headers.attemptId());
      String message = "the endpoint's answer belongs to another request";
      return Optional.of(failure(ErrorKind.ANSWER_INCOMPLETE, message, Cause.UNKNOWN));
    }
    if (!response.isSuccessful() && "true".equalsIgnoreCase(response.header("x-not-run"))) {
      Cause cause = response.code() == 404 && isEngine ? Cause.NOT_LOADED : Cause.REJECTED;
      String message = "the endpoint did not take the request";
      return Optional.of(failure(ErrorKind.ENDPOINT_REFUSED, message, cause));
    }
    if (isEngine && response.code() >= 500) {
      String message = "the endpoint failed with status " + response.code();
      return Optional.of(failure(ErrorKind.ENDPOINT_FAILED, message, Cause.UNKNOWN));
    }
    return Optional.empty();
  }

  // Before the first byte, a broken connection is a failed attempt; after it, an error ends the
  // stream.
  private Optional<AttemptFailure> handleBrokenResponse(IOException e) {
    if (!running.isCommitted()) {
      return Optional.of(failure(e));
    }
    if (running.abortReason().filter(a -> a == AbortReason.CALLER_DISCONNECTED).isPresent()) {
      context.reply().callerDisconnected();
    } else {
      RequestError broken = RequestError.of(ErrorKind.ANSWER_INCOMPLETE, "the answer broke off");
      context.fail(running.abortReason().map(Attempt::abortError).orElse(broken));
    }
    return Optional.empty();
  }

  private AttemptFailure failure(IOException e) {
    boolean sent = headers.sendTracker().mayHaveSent();
    Optional<AbortReason> abort = running.abortReason();
    if (abort.isPresent()) {
      Cause cause = sent ? Cause.ABORTED : Cause.ABORTED_NOT_SENT;
      return new AttemptFailure(abortError(abort.get()), cause);
    }
    logger.atFine().log("attempt at endpoint %s failed: %s", endpoint.name(), e.getMessage());
    return sent
        ? failure(ErrorKind.ENDPOINT_FAILED, "the endpoint broke off", Cause.UNKNOWN)
        : failure(ErrorKind.NO_ENDPOINT, "the endpoint cannot be reached", Cause.NOT_SENT);
  }

  private static RequestError abortError(AbortReason abort) {
    return switch (abort) {
      case KEY_WITHDRAWN -> RequestError.of(ErrorKind.KEY_WITHDRAWN, "the key has been withdrawn");
      case DEADLINE ->
          RequestError.of(ErrorKind.DEADLINE_EXCEEDED, "no answer before the deadline");
      case STALLED -> RequestError.of(ErrorKind.ANSWER_INCOMPLETE, "the endpoint stopped sending");
      case SHUTDOWN -> RequestError.of(ErrorKind.SHUTTING_DOWN, "the VM is stopping");
      case CALLER_DISCONNECTED -> RequestError.of(ErrorKind.ANSWER_INCOMPLETE, "the caller left");
    };
  }

  private static AttemptFailure failure(ErrorKind kind, String message, Cause cause) {
    return new AttemptFailure(RequestError.of(kind, message), cause);
  }

  private Optional<Completion> streamedCompletion() {
    return context
        .target()
        .orElseThrow()
        .fold(
            c -> Optional.of(c).filter(Completion::streamed),
            s -> Optional.empty(),
            l -> Optional.empty());
  }

  private static boolean isEventStream(Response response) {
    String type = response.header("Content-Type");
    return type != null && type.startsWith("text/event-stream");
  }
}
