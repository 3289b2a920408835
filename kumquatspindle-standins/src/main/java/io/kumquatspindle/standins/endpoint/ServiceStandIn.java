package io.kumquatspindle.standins.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.standins.http.BoundedHistory;
import io.kumquatspindle.standins.http.FaultInjector;
import io.kumquatspindle.standins.http.HttpHost;
import io.kumquatspindle.standins.http.HttpServerExchange;
import io.kumquatspindle.standins.http.StandIn;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A simulation of a plain service, which counts how often it executes each call. */
public final class ServiceStandIn implements StandIn {
  private final HttpHost host;
  private final ServiceOptions options;
  private final FaultInjector<ServiceFaults> faults;
  private final BoundedHistory<CallRecord> history;
  private final Map<String, Integer> executions = new ConcurrentHashMap<>();
  private final AtomicInteger running = new AtomicInteger();
  private final String incarnation = UUID.randomUUID().toString();

  /**
   * Creates a service that has executed nothing.
   *
   * @param host server that provides the timers
   * @param options name, delay and limits
   */
  public ServiceStandIn(HttpHost host, ServiceOptions options) {
    this.host = host;
    this.options = options;
    this.faults = new FaultInjector<>(host, ServiceFaults.class, ServiceFaults.NONE);
    this.history = new BoundedHistory<>(options.history());
  }

  @Override
  public void handle(HttpServerExchange exchange) throws IOException {
    if (faults.handle(exchange, f -> {})) {
      return;
    }
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /report" -> exchange.reply(200, report());
      case "GET /history" -> exchange.reply(200, historyPage());
      case "DELETE /history" -> {
        history.clear();
        executions.clear();
        exchange.reply(200, Map.of());
      }
      default -> call(exchange, faults.consume(ServiceFaults::affectsCalls));
    }
  }

  private void call(HttpServerExchange exchange, ServiceFaults f) {
    String callId = callId(exchange);
    if (f.refuse() || f.hang()) {
      history.add(CallRecord.of(exchange, callId, false));
      if (f.refuse()) {
        exchange
            .setHeader("x-not-run", "true")
            .reply(503, Map.of("error", "service takes no work"));
      }
      return;
    }
    running.incrementAndGet();
    after(options.delay().plusMillis(f.delayMs()), () -> execute(exchange, callId, f));
  }

  private void execute(HttpServerExchange exchange, String callId, ServiceFaults f) {
    int times = executions.merge(callId, 1, Integer::sum);
    history.add(CallRecord.of(exchange, callId, true));
    running.decrementAndGet();
    if (f.breakAfterExecuting()) {
      exchange.closeConnection();
      return;
    }
    exchange.header("x-request-id").ifPresent(id -> exchange.setHeader("x-request-id", id));
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("service", options.name());
    answer.put("path", exchange.path());
    answer.put("callId", callId);
    answer.put("execution", times);
    after(Duration.ofMillis(f.answerLateMs()), () -> exchange.reply(200, answer));
  }

  /** Returns the call id from a header, the query or the body, in this order; empty if none. */
  private static String callId(HttpServerExchange exchange) {
    return exchange
        .header("x-call-id")
        .or(() -> exchange.parameter("call_id"))
        .or(() -> bodyCallId(exchange.body()))
        .orElse("");
  }

  private static Optional<String> bodyCallId(byte[] body) {
    try {
      JsonNode id = Json.mapper().readTree(body).path("call_id");
      return id.isTextual() ? Optional.of(id.asText()) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty(); // A plain service accepts any body.
    } catch (IOException e) {
      throw new IllegalStateException("reading from a byte array cannot fail", e);
    }
  }

  private EndpointReport report() {
    return new EndpointReport(
        EndpointName.of(options.name()),
        incarnation,
        running.get(),
        0,
        options.capacity(),
        faults.current().leaving(),
        Map.of(),
        List.of(),
        List.of());
  }

  private Map<String, Object> historyPage() {
    Map<String, Object> page = new LinkedHashMap<>();
    page.put("total", history.total());
    page.put("executions", executions);
    page.put("calls", history.entries());
    return page;
  }

  private void after(Duration time, Runnable r) {
    if (time.isZero()) {
      r.run();
    } else {
      host.timers().after(time, r);
    }
  }
}
