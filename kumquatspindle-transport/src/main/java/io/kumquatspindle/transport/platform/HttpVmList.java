package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.api.platform.VmList;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;

/** HTTP client of the platform's VM list. */
public final class HttpVmList implements VmList {
  private final SingleAttemptHttpClient client;
  private final HttpUrl url;
  private final Duration timeout;

  private HttpVmList(Builder builder) {
    client = SingleAttemptHttpClient.withConnectionPool(builder.metrics);
    url = builder.base.newBuilder().addPathSegment("vms").build();
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
  public Optional<List<ListedVm>> read() {
    return client
        .get(url, timeout, ListedVm[].class)
        .filter(HttpVmList::isComplete)
        .map(vms -> List.copyOf(Arrays.asList(vms)));
  }

  // A VM that is missing from the list is considered gone, so a list with an invalid element is
  // discarded entirely.
  private static boolean isComplete(ListedVm[] vms) {
    for (ListedVm v : vms) {
      if (v == null || v.vm() == null || v.failureDomain() == null || v.peerAddress() == null) {
        return false;
      }
    }
    return true;
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
    public HttpVmList build() {
      return new HttpVmList(this);
    }
  }
}
