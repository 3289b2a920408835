package io.kumquatspindle.standins.http;

import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The faults of one stand-in, read and replaced over HTTP at {@code /faults}.
 *
 * @param <T> the faults that the stand-in knows
 */
public final class FaultSwitch<T extends Faults> {
  // The answer to POST /faults must leave before the connections are closed.
  private static final Duration BEFORE_DOWN = Duration.ofMillis(50);

  private final Class<T> type;
  private final T none;
  private final HttpHost host;
  private T current;
  private int left;

  /**
   * Creates a switch with all faults off.
   *
   * @param host gives the timers
   * @param type the type that JSON is read into
   * @param none the faults when all are off
   */
  public FaultSwitch(HttpHost host, Class<T> type, T none) {
    this.host = host;
    this.type = type;
    this.none = none;
    this.current = none;
  }

  /**
   * Returns the faults without counting a request.
   *
   * @return the faults that are on
   */
  public synchronized T peek() {
    return current;
  }

  /**
   * Returns the faults for one request and counts it if they affect it.
   *
   * @param affects whether the faults affect the request
   * @return the faults that are on; all off if they do not affect the request
   */
  public synchronized T take(Predicate<T> affects) {
    T t = current;
    if (!affects.test(t)) {
      return none;
    }
    if (t.remaining() > 0) {
      left--;
      if (left == 0) {
        current = none;
      }
    }
    return t;
  }

  /**
   * Handles {@code GET /faults} and {@code POST /faults}.
   *
   * @param x the request
   * @param replaced called with the new faults after a replacement
   * @return whether the request was one of the two
   * @throws IOException if the body is not JSON of the stand-in's faults
   */
  public boolean handle(Exchange x, Consumer<T> replaced) throws IOException {
    if (!x.path().equals("/faults")) {
      return false;
    }
    if (x.method().equals("POST")) {
      T t = Json.strictMapper().readValue(x.body(), type);
      replace(t);
      replaced.accept(t);
      if (t.downMs() > 0) {
        Listener l = x.listener();
        host.timers().after(BEFORE_DOWN, () -> l.goDown(Duration.ofMillis(t.downMs())));
      }
    }
    x.reply(200, peek());
    return true;
  }

  private synchronized void replace(T t) {
    current = t;
    left = t.remaining();
  }
}
