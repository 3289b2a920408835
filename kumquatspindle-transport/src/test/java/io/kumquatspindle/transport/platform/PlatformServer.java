package io.kumquatspindle.transport.platform;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;

/** An HTTP server on loopback that answers calls in the order in which the answers were added. */
final class PlatformServer implements AutoCloseable {
  private final MockWebServer server = new MockWebServer();

  PlatformServer() throws IOException {
    server.start();
  }

  String url() {
    return "http://127.0.0.1:" + server.getPort();
  }

  void answer(int status, String body) {
    // OkHttp repeats a request by itself when 503 comes with this header.
    server.enqueue(
        new MockResponse.Builder().code(status).addHeader("Retry-After", "0").body(body).build());
  }

  void answerLate(long delayMs, String body) {
    server.enqueue(
        new MockResponse.Builder().headersDelay(delayMs, TimeUnit.MILLISECONDS).body(body).build());
  }

  void stall() {
    effect(SocketEffect.Stall.INSTANCE);
  }

  void breakConnection() {
    effect(new SocketEffect.CloseSocket());
  }

  private void effect(SocketEffect effect) {
    server.enqueue(new MockResponse.Builder().onResponseStart(effect).build());
  }

  int requests() {
    return server.getRequestCount();
  }

  RecordedRequest take() throws InterruptedException {
    return server.takeRequest();
  }

  @Override
  public void close() {
    server.close();
  }
}
