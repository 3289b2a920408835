package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.platform.StoreStatus;
import io.kumquatspindle.api.platform.WeightStore;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;

/** The platform's weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {
  private final HttpCaller caller;
  private final HttpUrl url;
  private final Duration timeout;

  private HttpWeightStore(Builder builder) {
    caller = HttpCaller.withKeptConnections(builder.traffic);
    url = builder.base.newBuilder().addPathSegment("store").build();
    timeout = builder.timeout;
  }

  /**
   * Returns a builder.
   *
   * @param baseUrl for example {@code http://127.0.0.1:9100}
   * @return the builder
   * @throws IllegalArgumentException if the text is not an HTTP URL
   */
  public static Builder builder(String baseUrl) {
    return new Builder(HttpUrl.get(baseUrl));
  }

  @Override
  public Optional<StoreStatus> status() {
    return caller.get(url, timeout, StoreStatus.class);
  }

  /** Builds a client with a timeout of 1 s by default. */
  public static final class Builder {
    private final HttpUrl base;
    private HttpTraffic traffic = HttpTraffic.unregistered();
    private Duration timeout = Duration.ofSeconds(1);

    private Builder(HttpUrl base) {
      this.base = base;
    }

    /**
     * Sets how long a call may take.
     *
     * @param timeout the timeout
     * @return this builder
     */
    public Builder timeout(Duration timeout) {
      this.timeout = Objects.requireNonNull(timeout, "timeout");
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
    public HttpWeightStore build() {
      return new HttpWeightStore(this);
    }
  }
}
