package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.EndpointReports;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;

/** Reads endpoint reports over HTTP. */
public final class HttpEndpointReports implements EndpointReports {
  private final SingleAttemptHttpClient client;
  private final Duration timeout;

  private HttpEndpointReports(Builder builder) {
    client = SingleAttemptHttpClient.withConnectionPool(builder.metrics);
    timeout = builder.timeout;
  }

  /**
   * Returns a builder.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  // Discards the report of a different endpoint at the same address; it would release reservations
  // that are still in use.
  @Override
  public Optional<EndpointReport> read(EndpointSpec endpoint) {
    return Optional.ofNullable(HttpUrl.parse(endpoint.url()))
        .map(base -> base.newBuilder().addPathSegment("report").build())
        .flatMap(url -> client.get(url, timeout, EndpointReport.class))
        .filter(r -> endpoint.name().equals(r.endpoint()) && r.incarnation() != null);
  }

  /** Builds a client. Default: timeout 1 s. */
  public static final class Builder {
    private HttpMetrics metrics = HttpMetrics.unregistered();
    private Duration timeout = Duration.ofSeconds(1);

    private Builder() {}

    /**
     * Sets the timeout of a call.
     *
     * @param timeout the timeout
     * @return this builder
     */
    public Builder timeout(Duration timeout) {
      this.timeout = Objects.requireNonNull(timeout, "timeout");
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
    public HttpEndpointReports build() {
      return new HttpEndpointReports(this);
    }
  }
}
