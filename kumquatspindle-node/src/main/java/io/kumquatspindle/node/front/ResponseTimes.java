package io.kumquatspindle.node.front;

import io.kumquatspindle.engine.fleet.ResponseTimeEstimator;
import java.util.HashMap;
import java.util.Map;

/** The response times of each route. */
final class ResponseTimes {
  private final Map<String, ResponseTimeEstimator> byRoute = new HashMap<>();

  ResponseTimeEstimator of(String route) {
    return byRoute.computeIfAbsent(route, r -> new ResponseTimeEstimator());
  }
}
