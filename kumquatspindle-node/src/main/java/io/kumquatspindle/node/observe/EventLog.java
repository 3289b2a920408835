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
 * Writes JSON lines on a thread of its own. The caller's thread never blocks: a line that meets a
 * full ring is dropped and counted, and each kind has a bound of lines a second; what it suppresses
 * is counted and told with the kind's next line.
 */
public final class EventLog implements AutoCloseable {
  /** Lines that wait for a slow reader; about 0.5 MB at the usual length. */
  static final int RING_LINES = 2_048;

  /** Lines of one kind a second; a process serves some tens of requests a second. */
  static final int LINES_PER_SECOND = 100;

  private static final JsonFactory JSON = new JsonFactory();
  private static final String END = "";

  private final BlockingQueue<String> ring = new ArrayBlockingQueue<>(RING_LINES);
  private final Map<String, Rate> rates = new HashMap<>();
  private final MonotonicClock clock;
  private final String vm;
  private final Counter dropped;
  private final Thread writer;

  /**
   * Starts the writer.
   *
   * @param output where the lines go
   * @param clock the clock that bounds the lines a second
   * @param vm name of this VM, in each line
   * @param dropped counts lines that were dropped or suppressed
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
   * Begins a line.
   *
   * @param kind what happened, one of the documented kinds
   * @return the line, to be ended by {@link Line#write}
   */
  public Line line(String kind) {
    Rate rate = rates.computeIfAbsent(kind, k -> new Rate());
    long second = clock.nowMs() / 1_000;
    if (rate.second != second) {
      rate.second = second;
      rate.lines = 0;
    }
    if (++rate.lines > LINES_PER_SECOND) {
      rate.suppressed++;
      dropped.inc();
      return new Line(null);
    }
    Line line = new Line(new StringWriter(192));
    line.field("ts", System.currentTimeMillis()).field("vm", vm).field("event", kind);
    if (rate.suppressed > 0) {
      line.field("suppressed", rate.suppressed);
      rate.suppressed = 0;
    }
    return line;
  }

  @Override
  public void close() {
    if (ring.offer(END)) {
      try {
        writer.join(CLOSE_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Time for the writer to finish at a stop, in ms. */
  private static final long CLOSE_MS = 200;

  private void writeAll(OutputStream output) {
    try {
      for (String s = ring.take(); !s.equals(END); s = ring.take()) {
        output.write(s.getBytes(StandardCharsets.UTF_8));
        if (ring.isEmpty()) {
          output.flush();
        }
      }
      output.flush();
    } catch (IOException e) {
      // Nobody reads the lines any more; the ring fills and further lines are counted as dropped.
      dropped.inc();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static final class Rate {
    private long second = Long.MIN_VALUE;
    private int lines;
    private long suppressed;
  }

  /** One line that is being filled. */
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

    /** Ends the line and hands it to the writer. */
    public void write() {
      add(
          () -> {
            json.writeEndObject();
            json.close();
          });
      if (json != null && !ring.offer(text + "\n")) {
        dropped.inc();
      }
    }

    private Line add(Step step) {
      if (json != null) {
        try {
          step.run();
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      }
      return this;
    }
  }

  private interface Step {
    void run() throws IOException;
  }
}
