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

/** Orders to endpoints over HTTP. Each call sends its order at most once. */
public final class HttpEndpointOrders implements EndpointOrders {
  private static final MediaType JSON = MediaType.get("application/json");

  // An order on a kept connection that no longer carries data would have an unknown outcome after
  // minutes, and its memory would stay reserved.
  private final HttpCaller caller;
  private final Duration loadTimeout;
  private final Duration unloadTimeout;

  private HttpEndpointOrders(Builder builder) {
    caller = HttpCaller.withNewConnections(builder.traffic);
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
      return new OrderResult.Refused("not an HTTP URL: " + endpoint.url());
    }
    HttpUrl url = base.newBuilder().addPathSegment("orders").addPathSegment(kind).build();
    RequestBody body = RequestBody.create(Json.encode(order), JSON);
    Exchange exchange = caller.call(new Request.Builder().url(url).post(body).build(), timeout);
    if (exchange instanceof Exchange.NotSent n) {
      return new OrderResult.Refused("not sent: " + n.reason());
    }
    if (exchange instanceof Exchange.Broken b) {
      return new OrderResult.Unknown(b.reason());
    }
    return answered(((Exchange.Answered) exchange).status());
  }

  private static OrderResult answered(int status) {
    return switch (status) {
      case HttpCaller.OK -> new OrderResult.Done();
      case HttpCaller.CONFLICT -> new OrderResult.Refused("old fencing number");
      case HttpCaller.INSUFFICIENT_STORAGE -> new OrderResult.Refused("no memory");
      case HttpCaller.SERVICE_UNAVAILABLE -> new OrderResult.Refused("not carried out");
      default -> new OrderResult.Unknown("endpoint answered " + status);
    };
  }

  private record LoadOrder(
      ArtifactName artifact, Optional<ArtifactName> model, long memoryMb, long fencingNumber) {}

  private record UnloadOrder(ArtifactName artifact, long fencingNumber) {}

  /** Builds a client with timeouts of 5 minutes for loads and 30 s for unloads by default. */
  public static final class Builder {
    private HttpTraffic traffic = HttpTraffic.unregistered();
    private Duration loadTimeout = Duration.ofMinutes(5);
    private Duration unloadTimeout = Duration.ofSeconds(30);

    private Builder() {}

    /**
     * Sets how long an endpoint may take to load an artifact.
     *
     * @param timeout the timeout of the whole call
     * @return this builder
     */
    public Builder loadTimeout(Duration timeout) {
      loadTimeout = Objects.requireNonNull(timeout, "timeout");
      return this;
    }

    /**
     * Sets how long an endpoint may take to unload an artifact.
     *
     * @param timeout the timeout of the whole call
     * @return this builder
     */
    public Builder unloadTimeout(Duration timeout) {
      unloadTimeout = Objects.requireNonNull(timeout, "timeout");
      return this;
    }

    /**
     * Sets where the traffic is counted.
     *
     * @param counters the counters
     * @return this builder
     */
    public Builder traffic(HttpTraffic counters) {
      traffic = Objects.requireNonNull(counters, "counters");
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
