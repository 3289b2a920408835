package io.kumquatspindle.transport.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that is taken for an answer although it is none. */
@DisplayName("A call to a service of the platform")
class SingleAttemptHttpClientTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** More than the kernel buffers for sending, in bytes. */
  private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

  /** Part of the body that a server reads which resets the connection during a write. */
  private static final int READ_BYTES = 8 * 1024 * 1024;

  private final SingleAttemptHttpClient client =
      SingleAttemptHttpClient.withoutConnectionReuse(HttpMetrics.unregistered());
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(65_536);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private CompletableFuture<HttpResult> call(int bodyBytes) {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + server.getLocalPort() + "/")
            .post(RequestBody.create(new byte[bodyBytes]))
            .build();
    return CompletableFuture.supplyAsync(() -> client.call(request, TIMEOUT));
  }

  /** Answers before the request has been read to its end, and resets the connection. */
  private void answerAndReset(String answer, int readBytes) throws IOException {
    try (Socket s = server.accept()) {
      s.getOutputStream().write(answer.getBytes(US_ASCII));
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
      s.getInputStream().readNBytes(readBytes);
      s.setSoLinger(true, 0);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, READ_BYTES})
  @DisplayName("that is answered without a length and reset while it is written is incomplete")
  void resetWhileWritten(int readBytes) throws Exception {
    CompletableFuture<HttpResult> result = call(LONG_BODY_BYTES);
    answerAndReset("HTTP/1.1 200 OK\r\n\r\npart", readBytes);

    assertInstanceOf(HttpResult.Incomplete.class, result.get(15, TimeUnit.SECONDS));
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999"})
  @DisplayName("that is answered with a status that HTTP does not have is incomplete")
  void invalidStatus(String status) throws Exception {
    CompletableFuture<HttpResult> result = call(0);
    try (Socket s = server.accept()) {
      s.getOutputStream()
          .write(("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok").getBytes(US_ASCII));
      assertInstanceOf(HttpResult.Incomplete.class, result.get(15, TimeUnit.SECONDS));
    }
  }

  @Test
  @DisplayName("that is answered with a length before it is written has a complete answer")
  void answeredEarly() throws Exception {
    CompletableFuture<HttpResult> result = call(LONG_BODY_BYTES);
    answerAndReset("HTTP/1.1 429 X\r\nContent-Length: 2\r\n\r\nno", 0);

    HttpResult r = result.get(15, TimeUnit.SECONDS);
    assertEquals(429, assertInstanceOf(HttpResult.Completed.class, r).status());
  }
}
