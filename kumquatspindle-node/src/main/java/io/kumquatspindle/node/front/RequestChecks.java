package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.RequestHead;
import java.util.Optional;

/** Checks whether one request may be sent, each time before it is and when the rules change. */
final class RequestChecks {
  private final FrontContext context;
  private final Admission admission;
  private final String path;

  /** Why a request is rejected, and when its caller may retry. */
  record Rejection(ErrorKind kind, long retryAfterMs, String detail) {}

  RequestChecks(FrontContext context, Admission admission, String path) {
    this.context = context;
    this.admission = admission;
    this.path = path;
  }

  /** Checks a request that has just arrived against the configuration and the shutdown. */
  Optional<Rejection> newRequest(RequestHead head) {
    return admission
        .checkNewRequest(head, path)
        .map(
            kind ->
                new Rejection(
                    kind, Exchange.DEFAULT_RETRY_AFTER_MS, admission.describeDenial(head, path)));
  }

  /** Checks a request that has waited against the configuration in force now. */
  Optional<Rejection> configuration(RequestHead head) {
    return admission
        .check(head, path)
        .map(
            kind ->
                new Rejection(
                    kind, Exchange.DEFAULT_RETRY_AFTER_MS, "configuration changed while waiting"));
  }

  /** Checks whether the request would crash the endpoint that answers it. */
  Optional<Rejection> quarantine(RequestHead head) {
    return context.promptGuard().remainingMs(head).stream()
        .mapToObj(ms -> new Rejection(ErrorKind.PROMPT_QUARANTINED, ms, ""))
        .findFirst();
  }

  /** Checks whether the request can still be served before its deadline. */
  Optional<Rejection> deadline(long deadlineMs) {
    boolean late = deadlineMs - context.node().now() < EndpointSearch.DEADLINE_MARGIN_MS;
    return late
        ? Optional.of(
            new Rejection(ErrorKind.DEADLINE_TOO_SHORT, Exchange.DEFAULT_RETRY_AFTER_MS, ""))
        : Optional.empty();
  }
}
