package io.kumquatspindle.transport.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

/** HTTP client of the platform's log service. */
public final class HttpLogService implements LogService {
  private static final MediaType JSON = MediaType.get("application/json");

  private final SingleAttemptHttpClient client;
  private final HttpUrl base;
  private final Duration appendTimeout;
  private final Duration readMargin;

  private HttpLogService(Builder builder) {
    client = SingleAttemptHttpClient.withConnectionPool(builder.metrics);
    base = builder.base;
    appendTimeout = builder.appendTimeout;
    readMargin = builder.readMargin;
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
  public AppendResult append(StreamName stream, byte[] value) {
    Request request =
        new Request.Builder().url(url(stream)).post(RequestBody.create(value, JSON)).build();
    HttpResult result = client.call(request, appendTimeout);
    if (result instanceof HttpResult.NotSent notSent) {
      return new AppendResult.NotAppended(notSent.reason());
    }
    if (result instanceof HttpResult.Incomplete incomplete) {
      return new AppendResult.Unknown(incomplete.reason());
    }
    return appendResult((HttpResult.Completed) result);
  }

  private static AppendResult appendResult(HttpResult.Completed completed) {
    if (completed.status() == SingleAttemptHttpClient.SERVICE_UNAVAILABLE) {
      return new AppendResult.NotAppended("log service returned status 503");
    }
    if (completed.status() != SingleAttemptHttpClient.OK) {
      return new AppendResult.Unknown("log service returned status " + completed.status());
    }
    Optional<Long> offset =
        SingleAttemptHttpClient.decode(completed.body(), AppendResponse.class)
            .map(AppendResponse::offset);
    return offset
        .<AppendResult>map(AppendResult.Appended::new)
        .orElseGet(() -> new AppendResult.Unknown("log service returned no valid offset"));
  }

  @Override
  public ReadResult read(StreamName stream, long from, int max, Duration wait) {
    HttpUrl url =
        url(stream)
            .newBuilder()
            .addQueryParameter("from", Long.toString(from))
            .addQueryParameter("max", Integer.toString(max))
            .addQueryParameter("wait_ms", Long.toString(wait.toMillis()))
            .build();
    HttpResult result = client.call(new Request.Builder().url(url).build(), wait.plus(readMargin));
    if (result instanceof HttpResult.NotSent notSent) {
      return new ReadResult.Unavailable(notSent.reason());
    }
    if (result instanceof HttpResult.Incomplete incomplete) {
      return new ReadResult.Unavailable(incomplete.reason());
    }
    HttpResult.Completed completed = (HttpResult.Completed) result;
    if (completed.status() != SingleAttemptHttpClient.OK) {
      return new ReadResult.Unavailable("log service returned status " + completed.status());
    }
    return SingleAttemptHttpClient.decode(completed.body(), ReadResponse.class)
        .flatMap(ReadResponse::toBatch)
        .orElseGet(() -> new ReadResult.Unavailable("log service returned invalid records"));
  }

  private HttpUrl url(StreamName stream) {
    return base.newBuilder().addPathSegment("log").addPathSegment(stream.path()).build();
  }

  private record AppendResponse(Long offset) {}

  private record ReadResponse(Long earliest, Long end, List<ReadRecord> records) {

    Optional<ReadResult> toBatch() {
      if (earliest == null || end == null || records == null) {
        return Optional.empty();
      }
      List<LogRecord> list = new ArrayList<>(records.size());
      for (ReadRecord r : records) {
        if (r == null || r.offset() == null || r.value() == null) {
          return Optional.empty();
        }
        list.add(new LogRecord(r.offset(), r.timeMs(), r.value()));
      }
      return Optional.of(new ReadResult.Batch(earliest, end, List.copyOf(list)));
    }
  }

  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  private record ReadRecord(Long offset, @JsonProperty("time_ms") long timeMs, byte[] value) {}

  /** Builds a client. Defaults: append timeout 2 s, read timeout 1 s above the wait of the read. */
  public static final class Builder {
    private final HttpUrl base;
    private HttpMetrics metrics = HttpMetrics.unregistered();
    private Duration appendTimeout = Duration.ofSeconds(2);
    private Duration readMargin = Duration.ofSeconds(1);

    private Builder(HttpUrl base) {
      this.base = base;
    }

    /**
     * Sets the timeout of an append.
     *
     * @param timeout the timeout
     * @return this builder
     */
    public Builder appendTimeout(Duration timeout) {
      appendTimeout = Objects.requireNonNull(timeout, "timeout");
      return this;
    }

    /**
     * Sets by how much the timeout of a read exceeds the wait that it requests from the log
     * service.
     *
     * @param margin the time allowed for connecting and for the response
     * @return this builder
     */
    public Builder readMargin(Duration margin) {
      readMargin = Objects.requireNonNull(margin, "slack");
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
    public HttpLogService build() {
      return new HttpLogService(this);
    }
  }
}
