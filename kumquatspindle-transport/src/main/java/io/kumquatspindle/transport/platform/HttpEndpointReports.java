package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.config.EndpointSpec;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.EndpointReports;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;

/** Reports of endpoints over HTTP. */
public final class HttpEndpointReports implements EndpointReports {
  private final HttpCaller caller;
  private final Duration timeout;

  private HttpEndpointReports(Builder builder) {
    caller = HttpCaller.withKeptConnections(builder.traffic);
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

  // A report of another endpoint at the same address would free reservations that are in use.
  @Override
  public Optional<EndpointReport> read(EndpointSpec endpoint) {
    return Optional.ofNullable(HttpUrl.parse(endpoint.url()))
        .map(base -> base.newBuilder().addPathSegment("report").build())
        .flatMap(url -> caller.get(url, timeout, EndpointReport.class))
        .filter(r -> endpoint.name().equals(r.endpoint()) && r.incarnation() != null);
  }

  /** Builds a client with a timeout of 1 s by default. */
  public static final class Builder {
    private HttpTraffic traffic = HttpTraffic.unregistered();
    private Duration timeout = Duration.ofSeconds(1);

    private Builder() {}

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
    public HttpEndpointReports build() {
      return new HttpEndpointReports(this);
    }
  }
}
