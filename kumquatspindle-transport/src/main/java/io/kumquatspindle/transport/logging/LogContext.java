package io.kumquatspindle.transport.logging;

import java.util.Map;
import org.slf4j.MDC;

/** Values that all log lines of the current thread carry until the context is closed. */
public final class LogContext implements AutoCloseable {
  private static final String TRACE_ID = "trace_id";
  private static final String REQUEST_ID = "request_id";

  private final Map<String, String> before;

  private LogContext(Map<String, String> before) {
    this.before = before;
  }

  /**
   * Adds the ids of a request to the log lines of the current thread.
   *
   * @param traceId trace id in hexadecimal digits, or empty if the request has none
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

  /** Restores the values from before. */
  @Override
  public void close() {
    if (before == null) {
      MDC.clear();
    } else {
      MDC.setContextMap(before);
    }
  }
}
