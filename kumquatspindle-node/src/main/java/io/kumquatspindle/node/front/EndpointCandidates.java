package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.RouteSpec;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.Home;
import io.kumquatspindle.engine.fleet.RequestWork;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/** The service that handles one request, and the endpoints of it that can serve the request. */
final class EndpointCandidates {
  private final FrontContext context;
  private final RequestHead head;
  private String service = "";
  private Home home = Home.ANYWHERE;

  EndpointCandidates(FrontContext context, RequestHead head) {
    this.context = context;
    this.head = head;
  }

  /** Returns the name of the service. */
  String service() {
    return service;
  }

  /** Returns where the request may be sent to. */
  Home home() {
    return home;
  }

  /**
   * Selects one of the route's services, unless the one selected before is still among them, and
   * keeps to the regions that the route and the customer allow.
   */
  void selectService(RouteSpec route, Set<String> customerRegions) {
    home = Home.of(context.node().settings().regions(), route.regionsAllowed(), customerRegions);
    if (route.targets().stream().noneMatch(t -> t.service().equals(service))) {
      service = route.selectService(context.random().nextDouble());
    }
  }

  /** Returns the endpoints that hold what the request needs and accept requests of this VM. */
  List<Endpoint> accepting(long now) {
    List<Endpoint> holders =
        head.model().isEmpty()
            ? context.node().endpoints().available(service)
            : context.node().endpoints().holders(service, head.model(), head.adapter(), now);
    boolean anyExcluded = holders.stream().anyMatch(e -> e.refuses(now) || !home.allows(e));
    return anyExcluded
        ? holders.stream().filter(e -> !e.refuses(now) && home.allows(e)).toList()
        : holders;
  }

  /** Selects the best endpoint that has not been tried, if there is one. */
  Optional<Endpoint> choose(Set<String> triedIds, long goalMs, long deadlineMs, long now) {
    RequestWork work = RequestWork.of(head, goalMs - now, deadlineMs - now);
    return context.selector().choose(accepting(now), triedIds, work, now);
  }

  /** Returns whether the endpoint accepts requests and has memory for this one. */
  boolean isUsable(Endpoint endpoint, long now) {
    return accepting(now).contains(endpoint)
        && context.selector().hasRoom(endpoint, RequestWork.of(head, 0, 0), now);
  }

  /** Returns whether the request must not be sent to the endpoint without a grant of memory. */
  boolean needsGrant(Endpoint endpoint) {
    return context.selector().needsGrant(endpoint, head.tokens());
  }

  /** Returns whether there is an endpoint that has not been tried, but without memory for this. */
  boolean lacksMemory(Set<String> triedIds, long now) {
    return context.selector().lacksMemory(accepting(now), triedIds, RequestWork.of(head, 0, 0));
  }

  /** Returns whether the request is larger than the memory of an engine of its service. */
  boolean exceedsMemory() {
    return context
        .node()
        .configuration()
        .flatMap(c -> c.service(service))
        .flatMap(ServiceInfo::engine)
        .filter(e -> e.promptCacheTokens() > 0 && head.tokens() > e.promptCacheTokens())
        .isPresent();
  }

  /** Returns whether there is a usable endpoint that has not been tried. */
  boolean hasUntried(Set<String> triedIds, Predicate<Endpoint> usable) {
    return accepting(context.node().now()).stream()
        .anyMatch(e -> !triedIds.contains(e.id()) && usable.test(e));
  }

  /** Returns whether the request needs a model of a known service, which could be loaded. */
  boolean needsModel() {
    return !head.model().isEmpty()
        && context.node().configuration().flatMap(c -> c.service(service)).isPresent();
  }

  /** Returns whether the service has endpoints, of which the request may be sent to none. */
  boolean noneAllowed() {
    return context.node().endpoints().noneAllowed(service, home);
  }

  /** Returns when an endpoint that asked for a pause accepts requests again, in ms, if one did. */
  OptionalLong pauseMs(long now) {
    return context.node().endpoints().available(service).stream()
        .filter(e -> e.refuses(now) && home.allows(e))
        .mapToLong(e -> e.refusesForMs(now))
        .min();
  }
}
