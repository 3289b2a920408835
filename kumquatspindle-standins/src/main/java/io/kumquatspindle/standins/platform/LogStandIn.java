package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.HttpServerExchange;
import io.kumquatspindle.standins.http.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** An in-memory simulation of the log service. */
public final class LogStandIn implements StandIn {
  private static final String PREFIX = "/log/";
  private static final int DEFAULT_MAX_RECORDS = 1000;
  private static final int MAX_RECORDS = 100_000;
  private static final long MAX_WAIT_MS = 60_000;

  private final LogOptions options;
  private final TimerService timers;
  private final FaultInjector<PlatformFaults> faults;
  private final AppendRateLimiter rateLimiter;
  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

  /**
   * Creates an empty log.
   *
   * @param host server that provides the timers
   * @param options latency, retention and limits
   */
  public LogStandIn(HttpHost host, LogOptions options) {
    this.options = options;
    this.timers = host.timers();
    this.faults = new FaultInjector<>(host, PlatformFaults.class, PlatformFaults.NONE);
    this.rateLimiter = new AppendRateLimiter(options.appendsPerSecond());
  }

  @Override
  public void handle(HttpServerExchange exchange) throws IOException {
    if (faults.handle(exchange, f -> {})) {
      return;
    }
    if (exchange.matches("GET", "/stats")) {
      exchange.reply(200, stats());
      return;
    }
    if (!exchange.path().startsWith(PREFIX) || exchange.path().length() == PREFIX.length()) {
      exchange.reply(404, Map.of("error", "no such path"));
      return;
    }
    boolean append = exchange.method().equals("POST");
    PlatformFaults f = faults.consume(t -> t.affects(append));
    if (f.hang()) {
      return;
    }
    LogStream stream = stream(exchange.path().substring(PREFIX.length()));
    if (f.out()) {
      exchange.reply(503, Map.of("error", "log service is out"));
    } else if (append) {
      append(exchange, stream, f);
    } else {
      after(f.slowMs(), () -> read(exchange, stream));
    }
  }

  private void append(HttpServerExchange exchange, LogStream stream, PlatformFaults f) {
    Optional<Long> wait = rateLimiter.reserve(System.nanoTime());
    if (wait.isEmpty()) {
      exchange.reply(503, Map.of("error", "too many appends a second"));
      return;
    }
    long delay = wait.get() + options.appendLatency().toMillis() + f.slowMs();
    after(
        delay,
        () -> {
          long offset = stream.append(exchange.body(), System.currentTimeMillis());
          if (f.loseAnswer()) {
            exchange.closeConnection();
          } else {
            exchange.reply(200, Map.of("offset", offset));
          }
        });
  }

  private void read(HttpServerExchange exchange, LogStream stream) {
    long from = exchange.longParameter("from", 0);
    long waitMs = Math.min(MAX_WAIT_MS, exchange.longParameter("wait_ms", 0));
    int max =
        (int)
            Math.max(1, Math.min(MAX_RECORDS, exchange.longParameter("max", DEFAULT_MAX_RECORDS)));
    Runnable sendResponse =
        once(() -> exchange.reply(200, stream.read(from, max, System.currentTimeMillis())));
    if (waitMs <= 0 || !stream.awaitAppend(from, sendResponse)) {
      sendResponse.run();
      return;
    }
    Runnable expire =
        () -> {
          stream.cancel(sendResponse);
          sendResponse.run();
        };
    timers.after(Duration.ofMillis(waitMs), expire);
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(name, n -> new LogStream(options.retention().toMillis()));
  }

  private Map<String, LogBatch> stats() {
    Map<String, LogBatch> result = new TreeMap<>();
    long now = System.currentTimeMillis();
    streams.forEach((name, s) -> result.put(name, s.read(Long.MAX_VALUE, 1, now)));
    return result;
  }

  private void after(long ms, Runnable r) {
    if (ms <= 0) {
      r.run();
    } else {
      timers.after(Duration.ofMillis(ms), r);
    }
  }

  private static Runnable once(Runnable r) {
    AtomicBoolean done = new AtomicBoolean();
    return () -> {
      if (done.compareAndSet(false, true)) {
        r.run();
      }
    };
  }
}
