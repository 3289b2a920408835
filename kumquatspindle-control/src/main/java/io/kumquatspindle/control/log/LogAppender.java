package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.LogService;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.transport.worker.EventWorker;
import java.util.function.Consumer;

/** Appends records to one stream sequentially, in submission order, on a dedicated thread. */
public final class LogAppender implements AutoCloseable {
  private static final int RING_CAPACITY = 256;

  private final EventWorker<Request> worker;

  /**
   * Creates an appender and starts its thread.
   *
   * @param log the log service
   * @param stream the stream
   */
  public LogAppender(LogService log, StreamName stream) {
    this.worker =
        EventWorker.<Request>builder(
                "append-" + stream.path(), r -> r.callback().accept(log.append(stream, r.value())))
            .capacity(RING_CAPACITY)
            .start();
  }

  /**
   * Submits a record to be appended. Does not block.
   *
   * @param value the record's bytes
   * @param callback receives the result on the appender's thread, or on the calling thread if the
   *     queue is full
   */
  public void append(byte[] value, Consumer<AppendResult> callback) {
    if (!worker.offer(new Request(value, callback))) {
      callback.accept(new AppendResult.NotAppended("append queue is full"));
    }
  }

  @Override
  public void close() {
    worker.close();
  }

  @SuppressWarnings("ArrayRecordComponent") // instances are not compared
  private record Request(byte[] value, Consumer<AppendResult> callback) {}
}
