package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.platform.StoreStatus;
import io.kumquatspindle.api.platform.WeightStore;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;

/** HTTP client of the platform's weight store. */
public final class HttpWeightStore implements WeightStore {
  private final SingleAttemptHttpClient client;
  private final HttpUrl url;
  private final Duration timeout;

  private HttpWeightStore(Builder builder) {
    client = SingleAttemptHttpClient.withConnectionPool(builder.metrics);
    url = builder.base.newBuilder().addPathSegment("store").build();
    timeout = builder.timeout;
  }

  /**
   * Returns a builder.
   *
   * @param baseUrl base URL, for example {@code http://127.0.0.1:9100}
   * @return the builder
   * @throws IllegalArgumentException if the URL is not a valid HTTP URL
   */
  public static Builder builder(String baseUrl) {
    return new Builder(HttpUrl.get(baseUrl));
  }

  @Override
  public Optional<StoreStatus> status() {
    return client.get(url, timeout, StoreStatus.class);
  }

  /** Builds a client. Default: timeout 1 s. */
  public static final class Builder {
    private final HttpUrl base;
    private HttpMetrics metrics = HttpMetrics.unregistered();
    private Duration timeout = Duration.ofSeconds(1);

    private Builder(HttpUrl base) {
      this.base = base;
    }

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
    public HttpWeightStore build() {
      return new HttpWeightStore(this);
    }
  }
}
