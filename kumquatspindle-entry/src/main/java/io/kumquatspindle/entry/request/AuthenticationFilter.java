package io.kumquatspindle.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.control.ConfigurationView;
import java.util.Optional;
import java.util.function.Consumer;

/** Authenticates the caller by its key, and rejects requests that would leak it to an endpoint. */
final class AuthenticationFilter implements RequestFilter {
  private static final String SCHEME = "bearer ";

  private final ConfigurationView configuration;
  private final MonotonicClock clock;

  AuthenticationFilter(ConfigurationView configuration, MonotonicClock clock) {
    this.configuration = configuration;
    this.clock = clock;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    Optional<String> key = key(context.request());
    Optional<JsonNode> tree = context.completion().map(CompletionBody::tree);
    if (key.isPresent() && KeyScanner.containsKey(key.get(), context.request(), tree)) {
      String message = "the key may be sent in the Authorization header only";
      context.fail(RequestError.of(ErrorKind.KEY_IN_REQUEST, message));
      return;
    }
    if (context.route().orElseThrow().kind() == Route.Kind.OPEN) {
      next.accept(context);
      return;
    }
    if (key.isEmpty()) {
      String message = "a key is needed in the header Authorization: Bearer";
      context.fail(RequestError.of(ErrorKind.MISSING_KEY, message));
      return;
    }
    authenticate(context, key.get(), next);
  }

  private void authenticate(RequestContext context, String key, Consumer<RequestContext> next) {
    Optional<RequestContext> accepted =
        configuration
            .authenticate(key, clock.nowMs())
            .fold(
                a -> Optional.of(context.withCaller(a)),
                r -> {
                  context.fail(RequestError.of(r.kind(), message(r.kind())));
                  return Optional.empty();
                });
    accepted.ifPresent(next);
  }

  static String message(ErrorKind kind) {
    return switch (kind) {
      case KEY_WITHDRAWN -> "the key has been withdrawn";
      case STALE_CONFIGURATION -> "keys cannot be checked: no recent configuration";
      default -> "the key is not known";
    };
  }

  private static Optional<String> key(IncomingRequest request) {
    return request
        .header("authorization")
        .filter(h -> h.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
        .map(h -> h.substring(SCHEME.length()).strip())
        .filter(k -> !k.isEmpty());
  }
}
