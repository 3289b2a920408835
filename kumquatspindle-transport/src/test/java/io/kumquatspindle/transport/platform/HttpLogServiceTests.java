package io.kumquatspindle.transport.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.api.platform.StreamName;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("HttpLogService")
class HttpLogServiceTests {
  private static final byte[] RECORD = "{}".getBytes(StandardCharsets.UTF_8);

  private final MockWebServer server = new MockWebServer();
  private HttpLogService log;

  @BeforeEach
  void start() throws Exception {
    server.start();
    log =
        HttpLogService.builder("http://127.0.0.1:" + server.getPort())
            .appendTimeout(Duration.ofMillis(300))
            .readSlack(Duration.ofMillis(300))
            .build();
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private void answer(int status, String body) {
    server.enqueue(new MockResponse.Builder().code(status).body(body).build());
  }

  @Nested
  @DisplayName("when it appends")
  class Append {

    private AppendResult append() {
      return log.append(StreamName.TICKETS, RECORD);
    }

    @Test
    @DisplayName("posts the record's bytes and gives the offset")
    void appends() throws Exception {
      answer(200, "{\"offset\":17,\"more\":1}");
      assertEquals(new AppendResult.Appended(17), append());
      RecordedRequest r = server.takeRequest();
      assertEquals("POST /log/tickets HTTP/1.1", r.getRequestLine());
      assertArrayEquals(RECORD, r.getBody().toByteArray());
    }

    @Test
    @DisplayName("is certain that nothing was appended after a 503, and asks once")
    void refused() {
      server.enqueue(new MockResponse.Builder().code(503).addHeader("Retry-After", "0").build());
      answer(200, "{\"offset\":1}");
      assertInstanceOf(AppendResult.NotAppended.class, append());
      assertEquals(1, server.getRequestCount());
    }

    @Test
    @DisplayName("is certain that nothing was appended when the connection is refused")
    void connectionRefused() {
      server.close();
      assertInstanceOf(AppendResult.NotAppended.class, append());
    }

    @Test
    @DisplayName("does not know the outcome after a timeout, and uses a new connection afterwards")
    void timesOut() throws Exception {
      server.enqueue(
          new MockResponse.Builder().onResponseStart(SocketEffect.Stall.INSTANCE).build());
      answer(200, "{\"offset\":2}");
      assertInstanceOf(AppendResult.Unknown.class, append());
      assertEquals(new AppendResult.Appended(2), append());
      assertEquals(0, server.takeRequest().getConnectionIndex());
      assertEquals(1, server.takeRequest().getConnectionIndex());
    }

    @Test
    @DisplayName("does not know the outcome when the connection breaks, and does not send again")
    void breaksOff() throws Exception {
      answer(200, "{\"offset\":1}");
      append();
      server.enqueue(
          new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build());
      answer(200, "{\"offset\":3}");
      assertInstanceOf(AppendResult.Unknown.class, append());
      assertEquals(2, server.getRequestCount());
    }

    @Test
    @DisplayName("does not know the outcome after an unreadable answer or another status")
    void unreadable() {
      answer(200, "{\"offset\":");
      assertInstanceOf(AppendResult.Unknown.class, append());
      answer(200, "{}");
      assertInstanceOf(AppendResult.Unknown.class, append());
      answer(500, "");
      assertInstanceOf(AppendResult.Unknown.class, append());
    }
  }

  @Nested
  @DisplayName("when it reads")
  class Read {

    private ReadResult read(Duration wait) {
      return log.read(StreamName.DECISIONS, 4, 100, wait);
    }

    @Test
    @DisplayName("gives the records and the ends of the stream")
    void reads() throws Exception {
      answer(
          200,
          "{\"earliest\":2,\"end\":5,\"records\":["
              + "{\"offset\":4,\"time_ms\":1700,\"value\":\"e30=\"}]}");
      ReadResult.Batch b = assertInstanceOf(ReadResult.Batch.class, read(Duration.ofSeconds(2)));
      assertEquals(2, b.earliest());
      assertEquals(5, b.end());
      assertEquals(4, b.records().get(0).offset());
      assertEquals(1700, b.records().get(0).timeMs());
      assertArrayEquals(RECORD, b.records().get(0).value());
      String line = server.takeRequest().getRequestLine();
      assertEquals("GET /log/decisions?from=4&max=100&wait_ms=2000 HTTP/1.1", line);
    }

    @Test
    @DisplayName("waits for a long poll and not longer")
    void longPoll() {
      server.enqueue(
          new MockResponse.Builder()
              .body("{\"earliest\":0,\"end\":4,\"records\":[]}")
              .headersDelay(500, TimeUnit.MILLISECONDS)
              .build());
      assertInstanceOf(ReadResult.Batch.class, read(Duration.ofMillis(500)));
      server.enqueue(
          new MockResponse.Builder().onResponseStart(SocketEffect.Stall.INSTANCE).build());
      assertInstanceOf(ReadResult.Unavailable.class, read(Duration.ofMillis(100)));
    }

    @Test
    @DisplayName("is unavailable after an outage or an unreadable answer")
    void unavailable() {
      answer(503, "");
      assertInstanceOf(ReadResult.Unavailable.class, read(Duration.ZERO));
      answer(200, "{\"earliest\":2,\"end\":5}");
      assertInstanceOf(ReadResult.Unavailable.class, read(Duration.ZERO));
      answer(200, "null");
      assertInstanceOf(ReadResult.Unavailable.class, read(Duration.ZERO));
      server.close();
      assertInstanceOf(ReadResult.Unavailable.class, read(Duration.ZERO));
    }
  }
}
