package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.entry.control.ConfigurationView;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

/** Validates path, method and body size, and parses the body of a completion request. */
final class ParseFilter implements RequestFilter {
  private final ConfigurationView configuration;
  private final int maxBodyBytes;

  ParseFilter(ConfigurationView configuration, int maxBodyBytes) {
    this.configuration = configuration;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    IncomingRequest request = context.request();
    if (request.body().length > maxBodyBytes) {
      String message = "the body must not exceed " + maxBodyBytes + " bytes";
      context.fail(RequestError.of(ErrorKind.BODY_TOO_LARGE, message));
      return;
    }
    Optional<Route> route = Route.of(request.path(), configuration.configuration());
    if (route.isEmpty()) {
      context.fail(RequestError.of(ErrorKind.UNKNOWN_ROUTE, "no such path"));
    } else if (!route.get().allows(request.method())) {
      context.fail(
          RequestError.of(ErrorKind.METHOD_NOT_ALLOWED, "method not allowed on this path"));
    } else if (hasDotSegments(route.get().servicePath())) {
      // HTTP clients resolve dot segments, so the endpoint would receive a different path.
      context.fail(RequestError.of(ErrorKind.MALFORMED_REQUEST, "the path has dot segments"));
    } else {
      parse(context, route.get(), next);
    }
  }

  private static void parse(RequestContext context, Route route, Consumer<RequestContext> next) {
    Optional<CompletionBody> body;
    try {
      body =
          route.kind() == Route.Kind.COMPLETION
              ? Optional.of(CompletionBody.parse(context.request().body()))
              : Optional.empty();
    } catch (IllegalArgumentException e) {
      context.fail(RequestError.of(ErrorKind.MALFORMED_REQUEST, e.getMessage()));
      return;
    }
    next.accept(context.withRoute(route, body));
  }

  private static boolean hasDotSegments(String path) {
    String plain = path.toLowerCase(Locale.ROOT).replace("%2e", ".");
    return Arrays.stream(plain.split("[/\\\\]", -1)).anyMatch(s -> s.equals(".") || s.equals(".."));
  }
}
