package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.RouteSpec;
import java.util.Optional;

/** What the configuration in force allows one request, and what the request is charged. */
final class Admission {
  private final FrontParts parts;
  private RouteSpec route;
  private Optional<CustomerInfo> customer = Optional.empty();
  private double charged;

  Admission(FrontParts parts) {
    this.parts = parts;
  }

  /** Returns why a request that has just arrived is denied, by a stop or as {@link #check} says. */
  Optional<ErrorKind> checkNew(RequestHead head, String path) {
    return parts.node().takesNoMore() ? Optional.of(ErrorKind.SHUTTING_DOWN) : check(head, path);
  }

  /**
   * Looks up route and customer; returns why the request is denied, if it is. Also called for a
   * request that has waited, since the configuration may have changed.
   */
  Optional<ErrorKind> check(RequestHead head, String path) {
    Optional<FleetConfiguration> configuration = parts.node().configuration();
    if (configuration.isEmpty()) {
      return Optional.of(ErrorKind.STALE_CONFIGURATION);
    }
    Optional<RouteSpec> found = configuration.get().route(head.host(), path);
    if (found.isEmpty()) {
      return Optional.of(ErrorKind.UNKNOWN_ROUTE);
    }
    route = found.get();
    customer = head.key().flatMap(configuration.get()::customerOfKey);
    if (customer.isEmpty() && configuration.get().requiresKeys() && !route.open()) {
      return Optional.of(head.key().isEmpty() ? ErrorKind.MISSING_KEY : ErrorKind.UNKNOWN_KEY);
    }
    return Optional.empty();
  }

  /** Charges the customer's rate; returns whether it allows the request. */
  /** Describes what was asked for and how old the knowledge is by which it was denied. */
  String describeDenied(RequestHead head, String path) {
    return head.host() + path + " configuration confirmed " + confirmedMs() + " ms ago";
  }

  private long confirmedMs() {
    return parts.node().now() - parts.node().configurationConfirmedMs();
  }

  boolean charge(RequestHead head) {
    if (customer.isEmpty()) {
      return true;
    }
    double cost = customer.get().cost(head.tokens());
    boolean allowed = parts.quotas().tryTake(customer.get(), cost);
    charged = allowed ? cost : 0;
    return allowed;
  }

  /** Gives back what was charged, as the request has not run. */
  void giveBack() {
    if (charged > 0) {
      customer.ifPresent(c -> parts.quotas().giveBack(c, charged));
      charged = 0;
    }
  }

  /** Returns what the request was charged; 0 if nothing. */
  double charged() {
    return charged;
  }

  /** Returns what is left of the customer's rate, as this VM sees it; 0 without a customer. */
  long level() {
    return customer.map(c -> (long) parts.quotas().level(c)).orElse(0L);
  }

  /** Returns when a request that the rate did not allow should come back, in ms. */
  long waitMs(RequestHead head) {
    return customer.map(c -> parts.quotas().waitMs(c, c.cost(head.tokens()))).orElse(0L);
  }

  /** Describes the customer's rate, for the log. */
  String describe(RequestHead head) {
    return customer
        .map(
            c ->
                c.name()
                    + " cost "
                    + (long) c.cost(head.tokens())
                    + " "
                    + parts.quotas().describe(c))
        .orElse("");
  }

  /** Returns the route; null before the first check that found one. */
  RouteSpec route() {
    return route;
  }

  Optional<String> customerName() {
    return customer.map(CustomerInfo::name);
  }

  /** Returns the urgency: the customer's if it has one, else the route's. */
  int rank() {
    return customer
        .filter(c -> c.priority().isPresent())
        .map(c -> c.priority().getAsInt())
        .orElse(route.priority());
  }
}
