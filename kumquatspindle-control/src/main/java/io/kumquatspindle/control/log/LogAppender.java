package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.transport.duty.Duty;
import java.util.function.Consumer;

/** Appends records to one stream, one at a time and in order, on a thread of its own. */
public final class LogAppender implements AutoCloseable {
  private static final int RING_CAPACITY = 256;

  private final Duty<Request> duty;

  /**
   * Creates an appender and starts its thread.
   *
   * @param log the log service
   * @param stream the stream
   */
  public LogAppender(LogService log, StreamName stream) {
    this.duty =
        Duty.<Request>builder(
                "append-" + stream.path(), r -> r.callback().accept(log.append(stream, r.value())))
            .capacity(RING_CAPACITY)
            .start();
  }

  /**
   * Appends a record.
   *
   * @param value the record's bytes
   * @param callback takes the result on the appender's thread, or on the caller's if the ring is
   *     full
   */
  public void append(byte[] value, Consumer<AppendResult> callback) {
    if (!duty.offer(new Request(value, callback))) {
      callback.accept(new AppendResult.NotAppended("too many appends wait"));
    }
  }

  @Override
  public void close() {
    duty.close();
  }

  @SuppressWarnings("ArrayRecordComponent") // instances are never compared
  private record Request(byte[] value, Consumer<AppendResult> callback) {}
}
