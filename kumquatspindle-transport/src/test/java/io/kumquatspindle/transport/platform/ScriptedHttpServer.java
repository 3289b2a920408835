package io.kumquatspindle.transport.platform;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;

/** A loopback HTTP server that returns enqueued responses in order. */
final class ScriptedHttpServer implements AutoCloseable {
  private final MockWebServer server = new MockWebServer();

  ScriptedHttpServer() throws IOException {
    server.start();
  }

  String url() {
    return "http://127.0.0.1:" + server.getPort();
  }

  void respond(int status, String body) {
    // OkHttp retries a request on its own when a 503 response has this header.
    server.enqueue(
        new MockResponse.Builder().code(status).addHeader("Retry-After", "0").body(body).build());
  }

  void respondAfter(long delayMs, String body) {
    server.enqueue(
        new MockResponse.Builder().headersDelay(delayMs, TimeUnit.MILLISECONDS).body(body).build());
  }

  void stall() {
    enqueueEffect(SocketEffect.Stall.INSTANCE);
  }

  void breakConnection() {
    enqueueEffect(new SocketEffect.CloseSocket());
  }

  private void enqueueEffect(SocketEffect effect) {
    server.enqueue(new MockResponse.Builder().onResponseStart(effect).build());
  }

  int requestCount() {
    return server.getRequestCount();
  }

  RecordedRequest takeRequest() throws InterruptedException {
    return server.takeRequest();
  }

  @Override
  public void close() {
    server.close();
  }
}
