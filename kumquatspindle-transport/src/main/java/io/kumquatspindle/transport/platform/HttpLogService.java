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

/** The platform's log service over HTTP. */
public final class HttpLogService implements LogService {
  private static final MediaType JSON = MediaType.get("application/json");

  private final HttpCaller caller;
  private final HttpUrl base;
  private final Duration appendTimeout;
  private final Duration readSlack;

  private HttpLogService(Builder builder) {
    caller = HttpCaller.withKeptConnections(builder.traffic);
    base = builder.base;
    appendTimeout = builder.appendTimeout;
    readSlack = builder.readSlack;
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
  public AppendResult append(StreamName stream, byte[] value) {
    Request request =
        new Request.Builder().url(url(stream)).post(RequestBody.create(value, JSON)).build();
    Exchange exchange = caller.call(request, appendTimeout);
    if (exchange instanceof Exchange.NotSent n) {
      return new AppendResult.NotAppended(n.reason());
    }
    if (exchange instanceof Exchange.Broken b) {
      return new AppendResult.Unknown(b.reason());
    }
    return answered((Exchange.Answered) exchange);
  }

  private static AppendResult answered(Exchange.Answered a) {
    if (a.status() == HttpCaller.SERVICE_UNAVAILABLE) {
      return new AppendResult.NotAppended("log answered 503");
    }
    if (a.status() != HttpCaller.OK) {
      return new AppendResult.Unknown("log answered " + a.status());
    }
    Optional<Long> offset =
        HttpCaller.decode(a.body(), AppendAnswer.class).map(AppendAnswer::offset);
    return offset
        .<AppendResult>map(AppendResult.Appended::new)
        .orElseGet(() -> new AppendResult.Unknown("log answered without an offset"));
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
    Exchange exchange = caller.call(new Request.Builder().url(url).build(), wait.plus(readSlack));
    if (exchange instanceof Exchange.NotSent n) {
      return new ReadResult.Unavailable(n.reason());
    }
    if (exchange instanceof Exchange.Broken b) {
      return new ReadResult.Unavailable(b.reason());
    }
    Exchange.Answered a = (Exchange.Answered) exchange;
    if (a.status() != HttpCaller.OK) {
      return new ReadResult.Unavailable("log answered " + a.status());
    }
    return HttpCaller.decode(a.body(), ReadAnswer.class)
        .flatMap(ReadAnswer::toBatch)
        .orElseGet(() -> new ReadResult.Unavailable("log answered with unreadable records"));
  }

  private HttpUrl url(StreamName stream) {
    return base.newBuilder().addPathSegment("log").addPathSegment(stream.path()).build();
  }

  private record AppendAnswer(Long offset) {}

  private record ReadAnswer(Long earliest, Long end, List<ReadRecord> records) {

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

  /**
   * Builds a client whose appends time out after 2 s and whose reads have 1 s more than they wait.
   */
  public static final class Builder {
    private final HttpUrl base;
    private HttpTraffic traffic = HttpTraffic.unregistered();
    private Duration appendTimeout = Duration.ofSeconds(2);
    private Duration readSlack = Duration.ofSeconds(1);

    private Builder(HttpUrl base) {
      this.base = base;
    }

    /**
     * Sets how long an append may take.
     *
     * @param timeout the timeout
     * @return this builder
     */
    public Builder appendTimeout(Duration timeout) {
      appendTimeout = Objects.requireNonNull(timeout, "timeout");
      return this;
    }

    /**
     * Sets how much longer than its wait a read may take.
     *
     * @param slack the time for connecting and for the answer
     * @return this builder
     */
    public Builder readSlack(Duration slack) {
      readSlack = Objects.requireNonNull(slack, "slack");
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
    public HttpLogService build() {
      return new HttpLogService(this);
    }
  }
}
