package io.kumquatspindle.node.front;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.CustomerInfo;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.RouteSpec;
import java.util.Optional;
import java.util.Set;

/** Authorises one request by the configuration in force and charges the customer's rate limit. */
final class Admission {
  private final FrontContext context;
  private RouteSpec route;
  private Optional<CustomerInfo> customer = Optional.empty();
  private Optional<CustomerInfo> chargedCustomer = Optional.empty();
  private double chargedCost;

  Admission(FrontContext context) {
    this.context = context;
  }

  /**
   * Checks a request that has just arrived. Besides {@link #check}, denies it if the program is too
   * far into its shutdown to answer it.
   */
  Optional<ErrorKind> checkNewRequest(RequestHead head, String path) {
    return context.node().rejectsNewRequests()
        ? Optional.of(ErrorKind.SHUTTING_DOWN)
        : check(head, path);
  }

  /**
   * Looks up route and customer, and returns the reason if the request is denied. Called again for
   * a request that has waited, because the configuration may have changed in the meantime.
   */
  Optional<ErrorKind> check(RequestHead head, String path) {
    Optional<FleetConfiguration> configuration = context.node().configuration();
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

  /** Describes the host and path of a denied request and the age of the configuration. */
  String describeDenial(RequestHead head, String path) {
    return head.host() + path + " configuration confirmed " + configurationAgeMs() + " ms ago";
  }

  private long configurationAgeMs() {
    return context.node().now() - context.node().configurationConfirmedMs();
  }

  /** Returns the customer if a check has found one. */
  Optional<CustomerInfo> customer() {
    return customer;
  }

  /** Records that the customer's rate limit was charged. */
  void recordCharge(CustomerInfo charged, double cost) {
    chargedCustomer = Optional.of(charged);
    chargedCost = cost;
  }

  /** Refunds the charge of a request that has not run. */
  void refund() {
    if (chargedCost > 0) {
      // The configuration may have dropped the customer of the request in the meantime.
      chargedCustomer.ifPresent(c -> context.quotas().refund(c, chargedCost));
      chargedCost = 0;
    }
  }

  /** Returns the cost charged to the customer, or 0 if there was no charge. */
  double chargedCost() {
    return chargedCost;
  }

  /** Returns the remaining quota of the customer as known to this VM, or 0 without a customer. */
  long remainingQuota() {
    return customer.map(c -> (long) context.quotas().level(c)).orElse(0L);
  }

  /** Describes the customer, the cost of the request and the rate limit, for the log. */
  String describeRate(RequestHead head) {
    return customer
        .map(
            c ->
                c.name()
                    + " cost "
                    + (long) c.cost(head.tokens())
                    + " "
                    + context.quotas().describe(c))
        .orElse("");
  }

  /** Returns the route, or null until a check has found one. */
  RouteSpec route() {
    return route;
  }

  Optional<String> customerName() {
    return customer.map(CustomerInfo::name);
  }

  /** Returns the regions that the customer allows; empty: all. */
  Set<String> customerRegions() {
    return customer.map(CustomerInfo::regionsAllowed).orElse(Set.of());
  }

  /** Returns the customer's priority if it has one, else the route's; 0 is the highest. */
  int priority() {
    return customer
        .filter(c -> c.priority().isPresent())
        .map(c -> c.priority().getAsInt())
        .orElse(route.priority());
  }
}
