package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.model.ServiceName;
import io.kumquatspindle.entry.control.AuthenticationResult;
import io.kumquatspindle.entry.control.ConfigurationView;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Resolves the requested model or service and checks that the customer may use it. */
final class LookupFilter implements RequestFilter {
  private static final long BYTES_PER_TOKEN = 4;

  private final ConfigurationView configuration;
  private final long defaultMaxTokens;

  LookupFilter(ConfigurationView configuration, long defaultMaxTokens) {
    this.configuration = configuration;
    this.defaultMaxTokens = defaultMaxTokens;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    Route route = context.route().orElseThrow();
    switch (route.kind()) {
      case COMPLETION -> completion(context, next);
      case MODELS -> next.accept(context.withTarget(new Target.ModelList()));
      default -> service(context, route, next);
    }
  }

  private void completion(RequestContext context, Consumer<RequestContext> next) {
    CompletionBody body = context.completion().orElseThrow();
    Optional<ArtifactName> artifact =
        name(body.model(), ArtifactName::of).filter(configuration.configuration()::hasArtifact);
    if (artifact.isEmpty()) {
      context.fail(RequestError.of(ErrorKind.UNKNOWN_MODEL, "no such model"));
      return;
    }
    if (!customer(context).mayUse(artifact.get())) {
      context.fail(RequestError.of(ErrorKind.FORBIDDEN, "the customer may not use this model"));
      return;
    }
    long prompt = (body.promptBytes() + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    long max = body.maxTokens().orElse(defaultMaxTokens);
    next.accept(
        context.withTarget(new Target.Completion(artifact.get(), body.streamed(), prompt, max)));
  }

  private void service(RequestContext context, Route route, Consumer<RequestContext> next) {
    Configuration c = configuration.configuration();
    Optional<ServiceSpec> spec =
        name(route.service(), ServiceName::of)
            .flatMap(n -> Optional.ofNullable(c.services().get(n)));
    boolean open = route.kind() == Route.Kind.OPEN;
    if (spec.isEmpty()) {
      context.fail(RequestError.of(ErrorKind.UNKNOWN_ROUTE, "no such service"));
    } else if (!open && !customer(context).mayCall(spec.get().name())) {
      context.fail(RequestError.of(ErrorKind.FORBIDDEN, "the customer may not call this service"));
    } else {
      String query = declaredParameters(context.request().query(), spec.get().queryParameters());
      String target = route.servicePath() + (query.isEmpty() ? "" : "?" + query);
      next.accept(context.withTarget(new Target.ServiceCall(spec.get(), target, open)));
    }
  }

  private static CustomerSpec customer(RequestContext context) {
    return context.caller().map(AuthenticationResult.Accepted::customer).orElseThrow();
  }

  private static <T> Optional<T> name(String value, Function<String, T> factory) {
    try {
      return Optional.of(factory.apply(value));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static String declaredParameters(String query, Set<String> names) {
    return Arrays.stream(query.split("&", -1))
        .filter(p -> names.contains(p.contains("=") ? p.substring(0, p.indexOf('=')) : p))
        .collect(Collectors.joining("&"));
  }
}
