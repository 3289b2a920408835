package io.kumquatspindle.entry.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.CustomerSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.entry.control.AuthenticationResult;
import io.kumquatspindle.entry.control.ConfigurationView;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Responds to a list request with the models and adapters that the customer may use. */
final class ModelListFilter implements RequestFilter {
  private record Item(String id, String object, @JsonProperty("owned_by") String ownedBy) {}

  private record Listing(String object, List<Item> data) {}

  private final ConfigurationView configuration;

  ModelListFilter(ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    boolean list = context.target().orElseThrow().fold(c -> false, s -> false, l -> true);
    if (!list) {
      next.accept(context);
      return;
    }
    Optional<CustomerSpec> customer = context.caller().map(AuthenticationResult.Accepted::customer);
    Configuration c = configuration.configuration();
    List<Item> items =
        Stream.concat(c.models().keySet().stream(), c.adapters().keySet().stream())
            .filter(a -> customer.map(s -> s.mayUse(a)).orElse(false))
            .sorted()
            .map(ModelListFilter::item)
            .toList();
    byte[] body = Json.encode(new Listing("list", items));
    context.reply().respond(200, Map.of("Content-Type", "application/json"), body);
  }

  private static Item item(ArtifactName artifact) {
    return new Item(artifact.value(), "model", "kumquatspindle");
  }
}
