package io.kumquatspindle.entry.observe;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.json.Json;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** Writes each span to the log as one JSON line. */
final class LogSpanExporter implements SpanExporter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_US = 1_000;

  private record SpanLine(
      String trace,
      String span,
      String parent,
      String name,
      long startUs,
      long durationUs,
      String status,
      Map<String, String> attributes) {}

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    for (SpanData span : spans) {
      logger.atInfo().log("%s", line(span));
    }
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

  static String line(SpanData span) {
    Map<String, String> attributes = new TreeMap<>();
    span.getAttributes().forEach((k, v) -> attributes.put(k.getKey(), String.valueOf(v)));
    SpanLine line =
        new SpanLine(
            span.getTraceId(),
            span.getSpanId(),
            span.getParentSpanId(),
            span.getName(),
            span.getStartEpochNanos() / NANOS_PER_US,
            (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_US,
            span.getStatus().getStatusCode().name(),
            attributes);
    return new String(Json.encode(line), StandardCharsets.UTF_8);
  }
}
