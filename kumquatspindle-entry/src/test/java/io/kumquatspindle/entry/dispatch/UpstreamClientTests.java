package io.kumquatspindle.entry.dispatch;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.entry.request.IncomingRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against part of an answer, or an answer without a status, that reaches its caller. */
@DisplayName("A call to an endpoint")
class UpstreamClientTests {
  private static final String FAILED = "failed";

  /** More than the kernel buffers for sending, in bytes. */
  private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

  /** Part of the body that an endpoint reads which resets the connection during a write. */
  private static final int READ_BYTES = 8 * 1024 * 1024;

  private final UpstreamClient client = new UpstreamClient();
  private ServerSocket endpoint;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ServerSocket();
    endpoint.setReceiveBufferSize(65_536);
    endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    endpoint.close();
  }

  /** Returns status and body of the response, or {@link #FAILED}. */
  private CompletableFuture<String> call(int bodyBytes) {
    String url = "http://127.0.0.1:" + endpoint.getLocalPort();
    IncomingRequest request =
        new IncomingRequest("POST", "/", "", Map.of(), new byte[bodyBytes], 0);
    AttemptHeaders headers = new AttemptHeaders("a-1", "t", new SendTracker());
    return CompletableFuture.supplyAsync(
        () -> {
          try (Response r = client.prepare(url, "/", request, headers).execute()) {
            return r.code() + " " + r.body().string();
          } catch (IOException e) {
            return FAILED;
          }
        });
  }

  /** Answers before the request has been read to its end, and resets the connection. */
  private void answerAndReset(String answer, int readBytes) throws IOException {
    try (Socket s = endpoint.accept()) {
      s.getOutputStream().write(answer.getBytes(US_ASCII));
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
      s.getInputStream().readNBytes(readBytes);
      s.setSoLinger(true, 0);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, READ_BYTES})
  @DisplayName("that is answered without a length and reset while it is written has failed")
  void resetWhileWritten(int readBytes) throws Exception {
    CompletableFuture<String> result = call(LONG_BODY_BYTES);
    answerAndReset("HTTP/1.1 200 OK\r\n\r\npart", readBytes);

    assertEquals(FAILED, result.get(15, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("that is answered with a length before it is written has a complete answer")
  void answeredEarly() throws Exception {
    CompletableFuture<String> result = call(LONG_BODY_BYTES);
    answerAndReset("HTTP/1.1 429 X\r\nContent-Length: 2\r\n\r\nno", 0);

    assertEquals("429 no", result.get(15, TimeUnit.SECONDS));
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999"})
  @DisplayName("that is answered with a status that HTTP does not have has failed")
  void invalidStatus(String status) throws Exception {
    CompletableFuture<String> result = call(0);
    answerAndReset("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok", 0);

    assertEquals(FAILED, result.get(15, TimeUnit.SECONDS));
  }
}
