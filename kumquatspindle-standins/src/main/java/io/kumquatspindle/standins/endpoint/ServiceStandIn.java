package io.kumquatspindle.standins.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.model.EndpointName;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.standins.http.Exchange;
import io.kumquatspindle.standins.http.FaultSwitch;
import io.kumquatspindle.standins.http.History;
import io.kumquatspindle.standins.http.HttpHost;
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

/** A plain service, which counts how often it executes each call. */
public final class ServiceStandIn implements StandIn {
  private final HttpHost host;
  private final ServiceOptions options;
  private final FaultSwitch<ServiceFaults> faults;
  private final History<CallRecord> history;
  private final Map<String, Integer> executions = new ConcurrentHashMap<>();
  private final AtomicInteger running = new AtomicInteger();
  private final String incarnation = UUID.randomUUID().toString();

  /**
   * Creates a service that has executed nothing.
   *
   * @param host gives the timers
   * @param options name and speed
   */
  public ServiceStandIn(HttpHost host, ServiceOptions options) {
    this.host = host;
    this.options = options;
    this.faults = new FaultSwitch<>(host, ServiceFaults.class, ServiceFaults.NONE);
    this.history = new History<>(options.history());
  }

  @Override
  public void handle(Exchange x) throws IOException {
    if (faults.handle(x, f -> {})) {
      return;
    }
    switch (x.method() + " " + x.path()) {
      case "GET /report" -> x.reply(200, report());
      case "GET /history" -> x.reply(200, historyPage());
      case "DELETE /history" -> {
        history.clear();
        executions.clear();
        x.reply(200, Map.of());
      }
      default -> call(x, faults.take(ServiceFaults::affectsCalls));
    }
  }

  private void call(Exchange x, ServiceFaults f) {
    String callId = callId(x);
    if (f.refuse() || f.hang()) {
      history.add(CallRecord.of(x, callId, false));
      if (f.refuse()) {
        x.set("x-not-run", "true").reply(503, Map.of("error", "service takes no work"));
      }
      return;
    }
    running.incrementAndGet();
    after(options.delay().plusMillis(f.delayMs()), () -> execute(x, callId, f));
  }

  private void execute(Exchange x, String callId, ServiceFaults f) {
    int times = executions.merge(callId, 1, Integer::sum);
    history.add(CallRecord.of(x, callId, true));
    running.decrementAndGet();
    if (f.breakAfterExecuting()) {
      x.breakConnection();
      return;
    }
    x.header("x-request-id").ifPresent(id -> x.set("x-request-id", id));
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("service", options.name());
    answer.put("path", x.path());
    answer.put("callId", callId);
    answer.put("execution", times);
    after(Duration.ofMillis(f.answerLateMs()), () -> x.reply(200, answer));
  }

  /** Reads the call id from a header, the query or the body, whichever has one. */
  private static String callId(Exchange x) {
    return x.header("x-call-id")
        .or(() -> x.parameter("call_id"))
        .or(() -> bodyCallId(x.body()))
        .orElse("");
  }

  private static Optional<String> bodyCallId(byte[] body) {
    try {
      JsonNode id = Json.mapper().readTree(body).path("call_id");
      return id.isTextual() ? Optional.of(id.asText()) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty(); // A plain service takes any body.
    } catch (IOException e) {
      throw new IllegalStateException("a byte array cannot fail to be read", e);
    }
  }

  private EndpointReport report() {
    return new EndpointReport(
        EndpointName.of(options.name()),
        incarnation,
        running.get(),
        0,
        options.capacity(),
        faults.peek().leaving(),
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
