package io.kumquatspindle.standins.http;

import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds the injected faults of one stand-in, which are read and replaced over HTTP at {@code
 * /faults}.
 *
 * @param <T> the faults that the stand-in supports
 */
public final class FaultInjector<T extends Faults> {
  // The response to POST /faults must be sent before the connections are closed.
  private static final Duration RESPONSE_FLUSH_DELAY = Duration.ofMillis(50);

  private final Class<T> type;
  private final T none;
  private final HttpHost host;
  private T current;
  private int remainingRequests;

  /**
   * Creates an injector without faults.
   *
   * @param host server that provides the timers
   * @param type the type that the JSON is decoded into
   * @param none the value that stands for no faults
   */
  public FaultInjector(HttpHost host, Class<T> type, T none) {
    this.host = host;
    this.type = type;
    this.none = none;
    this.current = none;
  }

  /**
   * Returns the injected faults without counting a request.
   *
   * @return the injected faults
   */
  public synchronized T current() {
    return current;
  }

  /**
   * Returns the faults that apply to one request, and counts the request if it is affected.
   *
   * @param affects tells whether the faults affect the request
   * @return the injected faults; no faults if they do not affect the request
   */
  public synchronized T consume(Predicate<T> affects) {
    T t = current;
    if (!affects.test(t)) {
      return none;
    }
    if (t.remaining() > 0) {
      remainingRequests--;
      if (remainingRequests == 0) {
        current = none;
      }
    }
    return t;
  }

  /**
   * Handles {@code GET /faults} and {@code POST /faults}.
   *
   * @param exchange the request and its response
   * @param onReplaced called with the new faults after a replacement
   * @return whether the request was one of the two
   * @throws IOException if the body is not valid JSON for the faults of the stand-in
   */
  public boolean handle(HttpServerExchange exchange, Consumer<T> onReplaced) throws IOException {
    if (!exchange.path().equals("/faults")) {
      return false;
    }
    if (exchange.method().equals("POST")) {
      T t = Json.strictMapper().readValue(exchange.body(), type);
      replace(t);
      onReplaced.accept(t);
      if (t.downMs() > 0) {
        Listener l = exchange.listener();
        host.timers().after(RESPONSE_FLUSH_DELAY, () -> l.takeDown(Duration.ofMillis(t.downMs())));
      }
    }
    exchange.reply(200, current());
    return true;
  }

  private synchronized void replace(T t) {
    current = t;
    remainingRequests = t.remaining();
  }
}
