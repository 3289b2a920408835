package io.kumquatspindle.entry.observe;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Creates spans for the hops of a request, and propagates traces by W3C {@code traceparent}. */
public final class Traces implements AutoCloseable {
  private static final String TRACEPARENT = "traceparent";
  private static final long CLOSE_TIMEOUT_SECONDS = 2;
  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  private Traces(Optional<SpanExporter> exporter) {
    Attributes service = Attributes.builder().put("service.name", "kumquatspindle-entry").build();
    SdkTracerProviderBuilder builder =
        SdkTracerProvider.builder()
            .setResource(Resource.getDefault().merge(Resource.create(service)));
    exporter.ifPresent(e -> builder.addSpanProcessor(BatchSpanProcessor.builder(e).build()));
    provider = builder.build();
    tracer = provider.get("io.kumquatspindle.entry");
  }

  /**
   * Returns tracing that propagates traces but exports no spans.
   *
   * @return the tracing
   */
  public static Traces none() {
    return new Traces(Optional.empty());
  }

  /**
   * Returns tracing that logs each span as a JSON line.
   *
   * @return the tracing
   */
  public static Traces log() {
    return exportingTo(new LogSpanExporter());
  }

  /**
   * Returns tracing that exports spans to a collector over OTLP.
   *
   * @param endpoint URL of the collector's trace endpoint
   * @return the tracing
   */
  public static Traces otlp(String endpoint) {
    return exportingTo(OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build());
  }

  /**
   * Returns tracing that uses a given exporter.
   *
   * @param exporter the exporter
   * @return the tracing
   */
  public static Traces exportingTo(SpanExporter exporter) {
    return new Traces(Optional.of(exporter));
  }

  /**
   * Starts the server span of a request, as a child of the caller's span if there is one.
   *
   * @param traceparent the caller's {@code traceparent}, if it sent one
   * @param requestId id of the request
   * @return the span
   */
  public Span startRequestSpan(Optional<String> traceparent, String requestId) {
    Map<String, String> carrier = new HashMap<>();
    traceparent.ifPresent(t -> carrier.put(TRACEPARENT, t));
    Context parent = PROPAGATOR.extract(Context.root(), carrier, MapGetter.INSTANCE);
    SpanBuilder builder = tracer.spanBuilder("request").setSpanKind(SpanKind.SERVER);
    return builder.setParent(parent).setAttribute("request.id", requestId).startSpan();
  }

  /**
   * Starts a child span.
   *
   * @param parent the parent span
   * @param name what the span covers
   * @param kind kind of the span
   * @return the span
   */
  public Span startChildSpan(Span parent, String name, SpanKind kind) {
    Context context = Context.root().with(parent);
    return tracer.spanBuilder(name).setSpanKind(kind).setParent(context).startSpan();
  }

  /**
   * Returns the {@code traceparent} header for a request to an endpoint.
   *
   * @param span the span of the attempt
   * @return value of the header
   */
  public static String traceparent(Span span) {
    Map<String, String> carrier = new HashMap<>();
    PROPAGATOR.inject(Context.root().with(span), carrier, Map::put);
    return carrier.getOrDefault(TRACEPARENT, "");
  }

  @Override
  public void close() {
    provider.shutdown().join(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private enum MapGetter implements TextMapGetter<Map<String, String>> {
    INSTANCE;

    @Override
    public Iterable<String> keys(Map<String, String> carrier) {
      return carrier.keySet();
    }

    @Override
    public String get(Map<String, String> carrier, String key) {
      return carrier == null ? null : carrier.get(key);
    }
  }
}
