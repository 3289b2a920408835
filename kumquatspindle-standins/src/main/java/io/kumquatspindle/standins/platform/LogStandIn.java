package io.kumquatspindle.standins.platform;

import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.Exchange;
import io.kumquatspindle.standins.http.FaultSwitch;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** The log service, in memory. */
public final class LogStandIn implements StandIn {
  private static final String PREFIX = "/log/";
  private static final int DEFAULT_MAX_RECORDS = 1000;
  private static final int MAX_RECORDS = 100_000;
  private static final long MAX_WAIT_MS = 60_000;

  private final LogOptions options;
  private final TimerService timers;
  private final FaultSwitch<PlatformFaults> faults;
  private final AppendPacer pacer;
  private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

  /**
   * Creates an empty log.
   *
   * @param host gives the timers
   * @param options latency, retention and limits
   */
  public LogStandIn(HttpHost host, LogOptions options) {
    this.options = options;
    this.timers = host.timers();
    this.faults = new FaultSwitch<>(host, PlatformFaults.class, PlatformFaults.NONE);
    this.pacer = new AppendPacer(options.appendsPerSecond());
  }

  @Override
  public void handle(Exchange x) throws IOException {
    if (faults.handle(x, f -> {})) {
      return;
    }
    if (x.is("GET", "/stats")) {
      x.reply(200, stats());
      return;
    }
    if (!x.path().startsWith(PREFIX) || x.path().length() == PREFIX.length()) {
      x.reply(404, Map.of("error", "no such path"));
      return;
    }
    boolean append = x.method().equals("POST");
    PlatformFaults f = faults.take(t -> t.affects(append));
    if (f.hang()) {
      return;
    }
    LogStream stream = stream(x.path().substring(PREFIX.length()));
    if (f.out()) {
      x.reply(503, Map.of("error", "log service is out"));
    } else if (append) {
      append(x, stream, f);
    } else {
      after(f.slowMs(), () -> read(x, stream));
    }
  }

  private void append(Exchange x, LogStream stream, PlatformFaults f) {
    Optional<Long> wait = pacer.reserve(System.nanoTime());
    if (wait.isEmpty()) {
      x.reply(503, Map.of("error", "too many appends a second"));
      return;
    }
    long delay = wait.get() + options.appendLatency().toMillis() + f.slowMs();
    after(
        delay,
        () -> {
          long offset = stream.append(x.body(), System.currentTimeMillis());
          if (f.loseAnswer()) {
            x.breakConnection();
          } else {
            x.reply(200, Map.of("offset", offset));
          }
        });
  }

  private void read(Exchange x, LogStream stream) {
    long from = x.number("from", 0);
    long waitMs = Math.min(MAX_WAIT_MS, x.number("wait_ms", 0));
    int max = (int) Math.max(1, Math.min(MAX_RECORDS, x.number("max", DEFAULT_MAX_RECORDS)));
    Runnable answer = once(() -> x.reply(200, stream.read(from, max, System.currentTimeMillis())));
    if (waitMs <= 0 || !stream.awaitAppend(from, answer)) {
      answer.run();
      return;
    }
    Runnable expire =
        () -> {
          stream.cancel(answer);
          answer.run();
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
