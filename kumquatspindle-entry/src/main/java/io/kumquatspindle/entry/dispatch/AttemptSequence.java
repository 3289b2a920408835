package io.kumquatspindle.entry.dispatch;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.entry.control.AuthenticationResult;
import io.kumquatspindle.entry.dispatch.AttemptFailure.Cause;
import io.kumquatspindle.entry.observe.Traces;
import io.kumquatspindle.entry.request.RequestContext;
import io.kumquatspindle.entry.request.RequestError;
import io.kumquatspindle.entry.request.Target;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import okhttp3.Call;

/** Makes the attempts of one request, one after another. */
final class AttemptSequence {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  // Bounds the attempts of a request that endpoints keep rejecting without executing it.
  private static final int MAX_ATTEMPTS = 10;

  private final DispatchFilter filter;
  private final RequestContext context;
  private final Target target;
  private final Optional<ArtifactName> artifact;
  private final Set<EndpointName> tried = new HashSet<>();
  private RequestError lastError =
      RequestError.of(ErrorKind.NO_ENDPOINT, "no endpoint can take the request");
  private int attempts;

  AttemptSequence(DispatchFilter filter, RequestContext context) {
    this.filter = filter;
    this.context = context;
    this.target = context.target().orElseThrow();
    this.artifact =
        target.fold(c -> Optional.of(c.artifact()), s -> Optional.empty(), l -> Optional.empty());
  }

  void nextAttempt() {
    try {
      Optional<ErrorKind> keyError =
          context.caller().flatMap(c -> filter.controlState.configuration().keyError(c.hash()));
      if (keyError.isPresent()) {
        context.fail(RequestError.of(keyError.get(), "the key stopped working"));
      } else if (filter.env.clock().nowMs() >= context.deadlineMs()) {
        String message = "no endpoint answered before the deadline";
        context.fail(RequestError.of(ErrorKind.DEADLINE_EXCEEDED, message));
      } else {
        filter.picker.pick(target, tried).ifPresentOrElse(this::attempt, this::handleNoEndpoint);
      }
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("request %s failed", context.requestId());
      context.fail(RequestError.of(ErrorKind.INTERNAL, "internal error"));
    }
  }

  private void handleNoEndpoint() {
    if (attempts < MAX_ATTEMPTS && filter.picker.hasNoReadyReplica(target)) {
      tried.clear();
      filter.waitQueue.awaitModel(context, c -> c.withLogContext(this::nextAttempt));
    } else {
      context.fail(lastError);
    }
  }

  private void attempt(EndpointSpec endpoint) {
    attempts++;
    tried.add(endpoint.name());
    Span span =
        filter.env.traces().startChildSpan(context.span(), "endpoint attempt", SpanKind.CLIENT);
    span.setAttribute("endpoint", endpoint.name().value());
    String id = context.requestId() + "-" + attempts;
    AttemptHeaders headers = new AttemptHeaders(id, Traces.traceparent(span), new SendTracker());
    Call call;
    try {
      call = filter.client.prepare(endpoint.url(), path(), context.request(), headers);
    } catch (IllegalArgumentException e) {
      span.end();
      String message = "the request cannot be passed on: invalid method, path or header";
      context.fail(RequestError.of(ErrorKind.MALFORMED_REQUEST, message));
      return;
    }
    var key = context.caller().map(AuthenticationResult.Accepted::hash);
    RunningAttempt running = new RunningAttempt(call, key, isRepeatable());
    start(endpoint, headers, span, running, call);
  }

  private void start(
      EndpointSpec endpoint, AttemptHeaders headers, Span span, RunningAttempt running, Call call) {
    filter.runningAttempts.add(running);
    filter.controlState.loads().requestSent(endpoint.name(), filter.env.clock().nowMs());
    artifact.ifPresent(a -> filter.replicaUsage.requestStarted(endpoint.name(), a));
    if (isRepeatable()) {
      context.reply().onDisconnect(() -> running.abort(AbortReason.CALLER_DISCONNECTED));
    }
    Attempt.Listener listener =
        new Attempt.Listener() {
          @Override
          public void completed() {
            end(endpoint, span, running);
          }

          @Override
          public void failed(AttemptFailure failure) {
            span.setStatus(StatusCode.ERROR, failure.error().message());
            end(endpoint, span, running);
            afterFailure(endpoint, running, failure);
          }
        };
    new Attempt(context, endpoint, headers, running, filter.env, listener).start(call);
  }

  private void end(EndpointSpec endpoint, Span span, RunningAttempt running) {
    span.end();
    filter.runningAttempts.remove(running);
    artifact.ifPresent(
        a -> filter.replicaUsage.requestEnded(endpoint.name(), a, filter.env.clock().nowMs()));
  }

  private void afterFailure(EndpointSpec endpoint, RunningAttempt running, AttemptFailure failure) {
    lastError = failure.error();
    if (!failure.certainlyNotRun()) {
      context.reply().markMayHaveRun();
      context
          .tokenUsage()
          .set(target.fold(c -> c.promptTokens(), s -> s.spec().tokensPerCall(), l -> 0L));
    }
    if (running.abortReason().filter(a -> a == AbortReason.CALLER_DISCONNECTED).isPresent()) {
      context.reply().callerDisconnected();
      return;
    }
    if (failure.cause() == Cause.NOT_LOADED) {
      artifact.ifPresent(a -> filter.controlState.placement().markNotLoaded(endpoint.name(), a));
    } else if (!failure.isAborted()) {
      filter.controlState.loads().requestFailed(endpoint.name(), filter.env.clock().nowMs());
    }
    if (mayRetry(failure)) {
      filter.env.metrics().countRetry();
      nextAttempt();
    } else {
      context.fail(lastError);
    }
  }

  private boolean mayRetry(AttemptFailure failure) {
    if (failure.isAborted() || attempts >= MAX_ATTEMPTS) {
      return false;
    }
    return failure.certainlyNotRun() || (isRepeatable() && filter.tryAcquireRetry());
  }

  private boolean isRepeatable() {
    return target.fold(c -> true, s -> s.spec().repeatable(), l -> true);
  }

  private String path() {
    return target.fold(
        c -> context.request().path(), s -> s.pathAndQuery(), l -> context.request().path());
  }
}
