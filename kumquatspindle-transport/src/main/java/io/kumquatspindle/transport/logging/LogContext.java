package io.kumquatspindle.transport.logging;

import java.util.Map;
import org.slf4j.MDC;

/** Adds MDC values to all log lines of the current thread until the context is closed. */
public final class LogContext implements AutoCloseable {
  private static final String TRACE_ID = "trace_id";
  private static final String REQUEST_ID = "request_id";

  private final Map<String, String> previous;

  private LogContext(Map<String, String> previous) {
    this.previous = previous;
  }

  /**
   * Adds the ids of a request to the log lines of the current thread.
   *
   * @param traceId hexadecimal trace id, or empty if the request has none
   * @param requestId request id
   * @return the context, to be closed on the same thread
   */
  public static LogContext of(String traceId, String requestId) {
    LogContext context = new LogContext(MDC.getCopyOfContextMap());
    if (!traceId.isEmpty()) {
      MDC.put(TRACE_ID, traceId);
    }
    MDC.put(REQUEST_ID, requestId);
    return context;
  }

  /** Restores the previous MDC values. */
  @Override
  public void close() {
    if (previous == null) {
      MDC.clear();
    } else {
      MDC.setContextMap(previous);
    }
  }
}
