package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.EndpointSelector;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.observe.EventLog;
import java.util.List;
import java.util.Optional;

/** Records the events of one request: log lines, metrics and outcomes of its endpoints. */
final class ExchangeLog {
  /** Logged in place of the time since the head if there was none. */
  private static final long NO_HEAD = -1;

  private static final int OK = 200;
  private static final int REDIRECT = 300;

  private final FrontContext context;
  private final Admission admission;
  private final long arrivedMs;
  private final CachedPrompts cachedPrompts;
  private String id = "";
  private Optional<RequestHead> head = Optional.empty();

  ExchangeLog(FrontContext context, Admission admission, long arrivedMs) {
    this.context = context;
    this.admission = admission;
    this.arrivedMs = arrivedMs;
    this.cachedPrompts = new CachedPrompts(context.node());
  }

  /** Sets the head of the request, once it has been decoded. */
  void setHead(RequestHead decoded) {
    id = decoded.id();
    head = Optional.of(decoded);
  }

  private NodeContext node() {
    return context.node();
  }

  private String routeName() {
    return admission.route() == null ? "" : admission.route().name();
  }

  EventLog.Line line(String event) {
    return node()
        .log()
        .line(event)
        .field("id", id)
        .field("route", routeName())
        .field("age_ms", node().now() - arrivedMs);
  }

  /** Returns a line about an endpoint. */
  EventLog.Line line(String event, Endpoint endpoint) {
    return line(event).field("endpoint", endpoint.id());
  }

  void sent(Endpoint endpoint, int attempt) {
    long cachedTokens = head.map(h -> cachedPrompts.recordSent(endpoint, h)).orElse(0L);
    EndpointSelector.Estimate estimate = context.selector().estimate(endpoint, node().now());
    context.metrics().recordChoice(estimate);
    line("sent", endpoint)
        .field("address", endpoint.entry().address())
        .field("attempt", attempt)
        .field("use_pct", (long) (100 * endpoint.utilization(node().now())))
        .field("work_pct", Math.round(100 * estimate.factor()))
        .field("wait_ms", Math.round(estimate.waitMs()))
        .field("customer", admission.customerName().orElse(""))
        .field("charged", (long) admission.chargedCost())
        .field("level", admission.remainingQuota())
        .field("cached_tokens", cachedTokens)
        .write();
  }

  /** Records that events have arrived: before the first one, the endpoint has read the prompt. */
  void events(Endpoint endpoint, long countBefore) {
    if (countBefore == 0) {
      head.ifPresent(h -> cachedPrompts.recordRead(endpoint, h));
    }
  }

  /** Records that the request begins to wait for the rate of its customer. */
  void waitsForRate(String customer, double cost, long predictedMs) {
    line("waits_for_rate")
        .field("customer", customer)
        .field("cost", (long) cost)
        .field("level", admission.remainingQuota())
        .field("predicted_ms", predictedMs)
        .field("waiting", context.quotas().waits().count())
        .write();
  }

  /** Records that an endpoint makes no progress. */
  void stalled(Endpoint endpoint, long stalledMs) {
    endpoint.recordOutcome(true, node().now());
    line("silent", endpoint).field("silent_ms", stalledMs).write();
  }

  /** Records that an attempt has failed, and how far its response had come. */
  void broken(Endpoint endpoint, String reason, AttemptProgress progress, List<String> parts) {
    line("broken", endpoint)
        .field("reason", reason)
        .field("sent_ms", progress.sinceSentMs())
        .field("head_ms", progress.sinceHeadMs().orElse(NO_HEAD))
        .field("events", progress.events())
        .field("parts", String.join(",", parts))
        .write();
  }

  void served(Endpoint endpoint, int status, long firstByteMs) {
    long first = firstByteMs - arrivedMs;
    long total = node().now() - arrivedMs;
    if (status >= OK && status < REDIRECT) {
      head.ifPresent(h -> cachedPrompts.recordRead(endpoint, h));
    }
    context.metrics().recordServed(routeName(), status, first, total);
    line("served", endpoint)
        .field("status", status)
        .field("first_ms", first)
        .field("total_ms", total)
        .write();
  }

  void refused(ErrorKind kind, long retryAfterMs, String detail) {
    context.metrics().recordFailed(routeName(), kind);
    line("refused")
        .field("kind", kind.code())
        .field("status", kind.status())
        .field("retry_after_ms", retryAfterMs)
        .field("detail", detail)
        .field("configuration", node().configuration().map(FleetConfiguration::version).orElse(0L))
        .write();
  }

  void brokenOff(String reason) {
    context.metrics().recordFailed(routeName(), ErrorKind.ANSWER_INCOMPLETE);
    line("broken_off").field("reason", reason).write();
  }

  void foreignResponse(Endpoint endpoint, String otherId) {
    context.metrics().recordForeignResponse();
    line("foreign_response", endpoint).field("other", otherId).write();
  }
}
