package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.ResponseHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.RequestWork;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.limit.MemoryRequests;
import java.util.Optional;

/**
 * One attempt at an endpoint, as the choice of endpoints sees it: counts the attempt while it is in
 * progress, and measures how fast it is served.
 */
final class EndpointUse {
  /**
   * Number of events after the first ones from which the time between events is measured: a single
   * one may be delayed by the prompts of other requests.
   */
  private static final long MIN_MEASURED_EVENTS = 2;

  private final NodeContext node;
  private final SlotWaits slotWaits;
  private final Endpoint endpoint;
  private final String route;
  private final RequestHead head;
  private final Optional<MemoryRequests.Grant> grant;
  private final long tokens;

  /** Tokens that this VM reports; 0 if they are granted, and so counted by the holder. */
  private final long reportedTokens;

  private final double factor;
  private boolean sent;
  private long sentMs;
  private boolean reportedFree;
  private long reportedMs;
  private long firstEventMs;
  private long lastEventMs;
  private long firstEvents;
  private long laterEvents;
  private boolean delayedByCaller;

  EndpointUse(
      FrontContext context,
      Endpoint endpoint,
      String route,
      RequestHead head,
      Optional<MemoryRequests.Grant> grant) {
    this.node = context.node();
    this.slotWaits = context.slotWaits();
    this.endpoint = endpoint;
    this.route = route;
    this.head = head;
    RequestWork work = RequestWork.of(head, 0, 0);
    this.tokens = context.selector().addedTokens(endpoint, work, node.now());
    this.grant = grant;
    this.reportedTokens = grant.isPresent() ? 0 : tokens;
    this.factor = node.endpointSpeeds().factor(endpoint, node.now());
  }

  /** Starts to count the attempt. */
  void begin() {
    endpoint.requestStarted();
    node.activeRequests().started(endpoint.id(), head.model(), head.adapter(), reportedTokens);
  }

  /** Stops to count the attempt, which leaves a slot if it has run. */
  void end(boolean notRun) {
    endpoint.requestEnded();
    node.activeRequests().ended(endpoint.id(), head.model(), head.adapter(), reportedTokens);
    grant.ifPresent(MemoryRequests.Grant::giveBack);
    // A response that ends with its head is counted once, by the load that it has reported.
    boolean counted = reportedFree && reportedMs == node.now();
    if (sent && !notRun && !counted) {
      slotWaits.onEnded(endpoint);
    }
  }

  void sent(long now) {
    sent = true;
    sentMs = now;
  }

  /** Records the load that the response has reported. */
  void load(ResponseHead.Load load) {
    reportedMs = node.now();
    reportedFree = SlotWaits.freeSlots(load) > 0;
    endpoint.recordLoad(load, reportedMs);
    slotWaits.onLoad(endpoint, load);
  }

  /** Records whether the endpoint is read from; it is not while the caller does not read. */
  void setReading(boolean enabled) {
    delayedByCaller |= !enabled;
  }

  /** Records that events have arrived together. */
  void events(long count, long now) {
    if (firstEvents == 0) {
      firstEvents = count;
      firstEventMs = now;
      long uncachedTokens = tokens - head.maxOutputTokens();
      node.workTimes()
          .recordFirstEvent(endpoint.entry().service(), uncachedTokens, factor, now - sentMs);
    } else {
      laterEvents += count;
    }
    lastEventMs = now;
  }

  /**
   * Measures a successful response that is complete. A stream is measured by the time between its
   * events, which depends less on the queue of the endpoint than the time of the whole response.
   */
  void served(boolean stream, long now) {
    if (delayedByCaller) {
      return;
    }
    node.workTimes().recordSlotTime(endpoint.entry().service(), factor, now - sentMs);
    if (!stream) {
      node.endpointSpeeds().record(endpoint, route, head.model(), now - sentMs, now);
    } else if (laterEvents >= MIN_MEASURED_EVENTS) {
      double betweenEventsMs = (double) (lastEventMs - firstEventMs) / laterEvents;
      node.endpointSpeeds().record(endpoint, route, head.model(), betweenEventsMs, now);
    }
  }
}
