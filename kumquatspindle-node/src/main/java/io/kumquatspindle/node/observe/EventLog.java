package io.kumquatspindle.node.observe;

import com.codahale.metrics.Counter;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.kumquatspindle.api.time.MonotonicClock;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/**
 * Writes JSON lines on a separate thread. Callers never block: lines are dropped and counted while
 * the queue is full. The rate of each event is limited; the number of suppressed lines is counted
 * and reported with the next line of the event.
 */
public final class EventLog implements AutoCloseable {
  /** Capacity of the queue, in lines; a full queue takes about 0.5 MB at the usual length. */
  static final int QUEUE_CAPACITY = 2_048;

  /** Limit of lines per event and second; a process serves some tens of requests a second. */
  static final int MAX_LINES_PER_SECOND = 100;

  private static final JsonFactory JSON = new JsonFactory();
  private static final String END_MARKER = "";

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final Map<String, RateLimit> rateLimits = new HashMap<>();
  private final MonotonicClock clock;
  private final String vm;
  private final Counter dropped;
  private final Thread writer;

  /**
   * Creates the log and starts its writer thread.
   *
   * @param output destination of the lines
   * @param clock clock of the rate limit
   * @param vm name of this VM, written in each line
   * @param dropped counter of dropped and suppressed lines
   */
  public EventLog(OutputStream output, MonotonicClock clock, String vm, Counter dropped) {
    this.clock = clock;
    this.vm = vm;
    this.dropped = dropped;
    this.writer = new Thread(() -> writeAll(output), "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Starts a line.
   *
   * @param event name of the event, one of the documented names
   * @return the line, to be completed by {@link Line#write}
   */
  public Line line(String event) {
    RateLimit limit = rateLimits.computeIfAbsent(event, k -> new RateLimit());
    long second = clock.nowMs() / 1_000;
    if (limit.second != second) {
      limit.second = second;
      limit.lines = 0;
    }
    if (++limit.lines > MAX_LINES_PER_SECOND) {
      limit.suppressed++;
      dropped.inc();
      return new Line(null);
    }
    Line line = new Line(new StringWriter(192));
    line.field("ts", System.currentTimeMillis()).field("vm", vm).field("event", event);
    if (limit.suppressed > 0) {
      line.field("suppressed", limit.suppressed);
      limit.suppressed = 0;
    }
    return line;
  }

  /**
   * Writes a line about connections that were closed to protect this VM.
   *
   * @param port name of the port
   * @param reason why they were closed
   * @param connections their number
   * @param heldKb memory that they held
   */
  public void connectionsClosed(String port, String reason, long connections, long heldKb) {
    line("connections_closed")
        .field("port", port)
        .field("reason", reason)
        .field("connections", connections)
        .field("held_kb", heldKb)
        .write();
  }

  /**
   * Writes a line about an exception that no part of the program expects.
   *
   * @param cause the exception
   */
  public void internalError(Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    String location = trace.length > 0 ? " at " + trace[0] : "";
    line("internal_error").field("reason", cause + location).write();
  }

  @Override
  public void close() {
    if (queue.offer(END_MARKER)) {
      try {
        writer.join(CLOSE_TIMEOUT_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Time limit for the writer to finish at shutdown, in ms. */
  private static final long CLOSE_TIMEOUT_MS = 200;

  private void writeAll(OutputStream output) {
    try {
      for (String s = queue.take(); !s.equals(END_MARKER); s = queue.take()) {
        output.write(s.getBytes(StandardCharsets.UTF_8));
        if (queue.isEmpty()) {
          output.flush();
        }
      }
      output.flush();
    } catch (IOException e) {
      // The reader is gone. The queue fills up, and further lines are counted as dropped.
      dropped.inc();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static final class RateLimit {
    private long second = Long.MIN_VALUE;
    private int lines;
    private long suppressed;
  }

  /** Builder of one line. */
  public final class Line {
    private final StringWriter text;
    private final JsonGenerator json;

    private Line(StringWriter text) {
      this.text = text;
      try {
        this.json = text == null ? null : JSON.createGenerator(text);
        if (json != null) {
          json.writeStartObject();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /**
     * Adds a field.
     *
     * @param name name of the field
     * @param value its value
     * @return this line
     */
    public Line field(String name, String value) {
      return add(() -> json.writeStringField(name, value));
    }

    /**
     * Adds a field.
     *
     * @param name name of the field
     * @param value its value
     * @return this line
     */
    public Line field(String name, long value) {
      return add(() -> json.writeNumberField(name, value));
    }

    /** Completes the line and queues it for the writer. */
    public void write() {
      add(
          () -> {
            json.writeEndObject();
            json.close();
          });
      if (json != null && !queue.offer(text + "\n")) {
        dropped.inc();
      }
    }

    private Line add(JsonWrite write) {
      if (json != null) {
        try {
          write.run();
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      }
      return this;
    }
  }

  private interface JsonWrite {
    void run() throws IOException;
  }
}
