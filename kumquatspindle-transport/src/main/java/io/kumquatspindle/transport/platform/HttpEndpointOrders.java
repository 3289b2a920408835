package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.ArtifactName;
import io.kumquatspindle.api.platform.EndpointOrders;
import io.kumquatspindle.api.platform.OrderResult;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** Sends load and unload orders to endpoints over HTTP, each at most once. */
public final class HttpEndpointOrders implements EndpointOrders {
  private static final MediaType JSON = MediaType.get("application/json");

  // Connections are not reused: an order sent on a dead pooled connection would end with an unknown
  // outcome only after a timeout of minutes, and its memory would stay reserved.
  private final SingleAttemptHttpClient client;
  private final Duration loadTimeout;
  private final Duration unloadTimeout;

  private HttpEndpointOrders(Builder builder) {
    client = SingleAttemptHttpClient.withoutConnectionReuse(builder.metrics);
    loadTimeout = builder.loadTimeout;
    unloadTimeout = builder.unloadTimeout;
  }

  /**
   * Returns a builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public OrderResult load(
      EndpointSpec endpoint,
      ArtifactName artifact,
      Optional<ArtifactName> model,
      long memoryMb,
      long fencingNumber) {
    LoadOrder order = new LoadOrder(artifact, model, memoryMb, fencingNumber);
    return send(endpoint, "load", order, loadTimeout);
  }

  @Override
  public OrderResult unload(EndpointSpec endpoint, ArtifactName artifact, long fencingNumber) {
    return send(endpoint, "unload", new UnloadOrder(artifact, fencingNumber), unloadTimeout);
  }

  private OrderResult send(EndpointSpec endpoint, String kind, Object order, Duration timeout) {
    HttpUrl base = HttpUrl.parse(endpoint.url());
    if (base == null) {
      return new OrderResult.Refused("invalid HTTP URL: " + endpoint.url());
    }
    HttpUrl url = base.newBuilder().addPathSegment("orders").addPathSegment(kind).build();
    RequestBody body = RequestBody.create(Json.encode(order), JSON);
    HttpResult result = client.call(new Request.Builder().url(url).post(body).build(), timeout);
    if (result instanceof HttpResult.NotSent notSent) {
      return new OrderResult.Refused("order not sent: " + notSent.reason());
    }
    if (result instanceof HttpResult.Incomplete incomplete) {
      return new OrderResult.Unknown(incomplete.reason());
    }
    return orderResult(((HttpResult.Completed) result).status());
  }

  private static OrderResult orderResult(int status) {
    return switch (status) {
      case SingleAttemptHttpClient.OK -> new OrderResult.Done();
      case SingleAttemptHttpClient.CONFLICT ->
          new OrderResult.Refused("fencing number is outdated");
      case SingleAttemptHttpClient.INSUFFICIENT_STORAGE ->
          new OrderResult.Refused("not enough memory on the endpoint");
      case SingleAttemptHttpClient.SERVICE_UNAVAILABLE ->
          new OrderResult.Refused("endpoint did not execute the order");
      default -> new OrderResult.Unknown("endpoint returned status " + status);
    };
  }

  private record LoadOrder(
      ArtifactName artifact, Optional<ArtifactName> model, long memoryMb, long fencingNumber) {}

  private record UnloadOrder(ArtifactName artifact, long fencingNumber) {}

  /** Builds a client. Defaults: load timeout 5 minutes, unload timeout 30 s. */
  public static final class Builder {
    private HttpMetrics metrics = HttpMetrics.unregistered();
    private Duration loadTimeout = Duration.ofMinutes(5);
    private Duration unloadTimeout = Duration.ofSeconds(30);

    private Builder() {}

    /**
     * Sets the timeout for loading an artifact.
     *
     * @param timeout the timeout of the entire call
     * @return this builder
     */
    public Builder loadTimeout(Duration timeout) {
      loadTimeout = Objects.requireNonNull(timeout, "timeout");
      return this;
    }

    /**
     * Sets the timeout for unloading an artifact.
     *
     * @param timeout the timeout of the entire call
     * @return this builder
     */
    public Builder unloadTimeout(Duration timeout) {
      unloadTimeout = Objects.requireNonNull(timeout, "timeout");
      return this;
    }

    /**
     * Sets the traffic metrics; by default they are not registered.
     *
     * @param value the metrics
     * @return this builder
     */
    public Builder metrics(HttpMetrics value) {
      metrics = Objects.requireNonNull(value, "metrics");
      return this;
    }

    /**
     * Returns the client.
     *
     * @return the client
     */
    public HttpEndpointOrders build() {
      return new HttpEndpointOrders(this);
    }
  }
}
