package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.OpenRoute;
import java.util.Optional;

/**
 * The route that a path selects.
 *
 * @param kind kind of the route
 * @param service name of the service, not validated; empty for kinds without a service
 * @param servicePath path at the service; empty for kinds without a service
 */
record Route(Kind kind, String service, String servicePath) {
  private static final String SERVICES = "/services/";

  enum Kind {
    COMPLETION,
    MODELS,
    SERVICE,
    OPEN
  }

  static Optional<Route> of(String path, Configuration configuration) {
    OpenRoute open = configuration.openRoutes().get(path);
    if (open != null) {
      return Optional.of(new Route(Kind.OPEN, open.service().value(), open.servicePath()));
    }
    if (path.equals("/v1/chat/completions") || path.equals("/v1/completions")) {
      return Optional.of(new Route(Kind.COMPLETION, "", ""));
    }
    if (path.equals("/v1/models")) {
      return Optional.of(new Route(Kind.MODELS, "", ""));
    }
    if (path.startsWith(SERVICES) && path.length() > SERVICES.length()) {
      return Optional.of(service(path.substring(SERVICES.length())));
    }
    return Optional.empty();
  }

  boolean allows(String method) {
    return switch (kind) {
      case COMPLETION -> method.equals("POST");
      case MODELS -> method.equals("GET");
      case SERVICE, OPEN -> true;
    };
  }

  private static Route service(String rest) {
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String path = slash < 0 ? "/" : rest.substring(slash);
    return new Route(Kind.SERVICE, name, path);
  }
}
