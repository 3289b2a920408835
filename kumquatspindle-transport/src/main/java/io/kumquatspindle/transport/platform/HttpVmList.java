package io.kumquatspindle.transport.platform;

import io.kumquatspindle.api.platform.ListedVm;
import io.kumquatspindle.api.platform.VmList;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;

/** The platform's list of VMs over HTTP. */
public final class HttpVmList implements VmList {
  private final HttpCaller caller;
  private final HttpUrl url;
  private final Duration timeout;

  private HttpVmList(Builder builder) {
    caller = HttpCaller.withKeptConnections(builder.traffic);
    url = builder.base.newBuilder().addPathSegment("vms").build();
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
  public Optional<List<ListedVm>> read() {
    return caller
        .get(url, timeout, ListedVm[].class)
        .filter(HttpVmList::isComplete)
        .map(vms -> List.copyOf(Arrays.asList(vms)));
  }

  // A VM that is missing from the list is taken for gone, so a list that is partly unreadable is
  // not used at all.
  private static boolean isComplete(ListedVm[] vms) {
    for (ListedVm v : vms) {
      if (v == null || v.vm() == null || v.failureDomain() == null || v.peerAddress() == null) {
        return false;
      }
    }
    return true;
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
    public HttpVmList build() {
      return new HttpVmList(this);
    }
  }
}
