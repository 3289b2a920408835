package io.kumquatspindle.entry;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import io.kumquatspindle.entry.observe.Traces;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Guards against traces that are not continued at a hop, and log lines without trace id. */
@DisplayName("Tracing of a request")
class TraceTests {
  private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";
  private static final String PARENT = "b7ad6b7169203331";

  private final SpanCapture spans = new SpanCapture();

  @Test
  @DisplayName("creates a span for each hop, and sends the span of the attempt to the endpoint")
  void spanForEachHop() throws Exception {
    try (EntryFixture entry = new EntryFixture(1_000_000, Traces.exportingTo(spans));
        ScriptedEndpoint endpoint = new ScriptedEndpoint(r -> r.answer(200, "", "{}"))) {
      entry.control.configure(EntryFixture.configuration(false, Map.of("e1", endpoint.url())));
      String traceparent = "00-" + TRACE + "-" + PARENT + "-01";
      var answer =
          entry
              .client()
              .sendAsync(
                  entry.completion(false).header("traceparent", traceparent).build(),
                  java.net.http.HttpResponse.BodyHandlers.ofString());
      await().atMost(5, TimeUnit.SECONDS).until(() -> !entry.control.received.isEmpty());
      entry.control.announceReady(EntryFixture.MODEL, "e1");
      assertEquals(200, answer.get(10, TimeUnit.SECONDS).statusCode());
      entry.stop();
      SpanData request = spans.named("request");
      SpanData attempt = spans.named("endpoint attempt");
      assertEquals(PARENT, request.getParentSpanId());
      assertEquals(request.getSpanId(), spans.named("wait for model").getParentSpanId());
      assertEquals(request.getSpanId(), attempt.getParentSpanId());
      spans.all.forEach(s -> assertEquals(TRACE, s.getTraceId(), s.getName()));
      assertEquals(
          "00-" + TRACE + "-" + attempt.getSpanId() + "-01",
          endpoint.received.get(0).headers().get("traceparent"));
    }
  }

  @Test
  @DisplayName("adds trace id and request id to the log lines of the request")
  void logLinesCarryIds() throws Exception {
    LogCapture lines = new LogCapture();
    Logger root = (Logger) LoggerFactory.getLogger("io.kumquatspindle.entry");
    lines.start();
    root.addAppender(lines);
    try (EntryFixture entry = new EntryFixture();
        ScriptedEndpoint endpoint =
            new ScriptedEndpoint(r -> r.answerAs("other-1", 200, "", "{}"))) {
      entry.serve(Map.of("e1", endpoint.url()));
      String traceparent = "00-" + TRACE + "-" + PARENT + "-01";
      var answer = entry.send(entry.completion(false).header("traceparent", traceparent));
      String id = answer.headers().firstValue("X-Request-Id").orElseThrow();
      ILoggingEvent warning =
          lines.all.stream()
              .filter(e -> e.getFormattedMessage().contains("missing or wrong x-request-id"))
              .findFirst()
              .orElseThrow();
      assertEquals(TRACE, warning.getMDCPropertyMap().get("trace_id"));
      assertEquals(id, warning.getMDCPropertyMap().get("request_id"));
    } finally {
      root.detachAppender(lines);
    }
  }

  private static final class LogCapture extends AppenderBase<ILoggingEvent> {
    final List<ILoggingEvent> all = new CopyOnWriteArrayList<>();

    @Override
    protected void append(ILoggingEvent event) {
      event.prepareForDeferredProcessing();
      all.add(event);
    }
  }

  private static final class SpanCapture implements SpanExporter {
    final List<SpanData> all = new CopyOnWriteArrayList<>();

    SpanData named(String name) {
      List<SpanData> found = all.stream().filter(s -> s.getName().equals(name)).toList();
      assertTrue(found.size() == 1, name + ": " + found.size());
      return found.get(0);
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> batch) {
      all.addAll(batch);
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
      return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
      return CompletableResultCode.ofSuccess();
    }
  }
}
