package io.kumquatspindle.node.relay;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("A request to an endpoint")
class UpstreamRequestTests {
  private static final int TIMEOUT_MS = 5_000;
  private static final int RECEIVE_BUFFER_BYTES = 65_536;

  /** More than the kernel buffers for sending, in bytes. */
  private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

  /** Part of the body that an endpoint reads which resets the connection during a write. */
  private static final int READ_BYTES = 8 * 1024 * 1024;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EndpointConnections connections =
      new EndpointConnections(loop, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  private ServerSocket endpoint;

  @BeforeEach
  void start() throws IOException {
    endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    endpoint.setSoTimeout(TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws IOException {
    endpoint.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Records the names of events. */
  private static final class Recorder implements UpstreamRequest.Listener {
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final boolean wanted;

    private Recorder(boolean wanted) {
      this.wanted = wanted;
    }

    private String next() throws InterruptedException {
      return String.valueOf(events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    @Override
    public void onNotSent() {
      events.add("not sent");
    }

    @Override
    public boolean isWanted() {
      return wanted;
    }

    @Override
    public void onSent() {
      events.add("sent");
    }

    @Override
    public boolean onHead(HttpResponse head, boolean keptConnection) {
      return true;
    }

    @Override
    public void onData(ByteBuf data) {
      events.add("data");
    }

    @Override
    public void onComplete() {
      events.add("complete");
    }

    @Override
    public void onConnectionLost() {
      events.add("lost");
    }

    @Override
    public void onBrokenOff(String reason) {
      events.add("broken off");
    }

    @Override
    public void onFailed(String reason) {
      events.add("failed");
    }
  }

  private void send(Recorder listener) {
    send(listener, 0);
  }

  private void send(Recorder listener, int bodyBytes) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/",
            Unpooled.wrappedBuffer(new byte[bodyBytes]));
    UpstreamRequest.send(
        connections, "127.0.0.1", endpoint.getLocalPort(), request, false, listener);
  }

  @Test
  @DisplayName("whose caller leaves while the connection is opened is not sent")
  void callerLeftMeanwhile() throws Exception {
    Recorder listener = new Recorder(false);
    loop.execute(() -> send(listener));

    try (Socket s = endpoint.accept()) {
      s.setSoTimeout(TIMEOUT_MS);
      assertEquals(-1, s.getInputStream().read());
    }
    loop.submit(() -> {}).get();
    assertEquals(0, listener.events.size());
  }

  @Test
  @DisplayName("whose connection is reset at once ends with one final event")
  void resetAtOnce() throws Exception {
    Recorder listener = new Recorder(true);
    CountDownLatch reset = new CountDownLatch(1);
    loop.execute(
        () -> {
          send(listener);
          // Runs after the connect has been started, and before its completion is handled.
          loop.execute(() -> awaitUninterruptibly(reset));
        });
    Socket s = endpoint.accept();
    s.setSoLinger(true, 0);
    s.close();
    reset.countDown();

    String event = listener.next();
    String last = event.equals("sent") ? listener.next() : event;
    assertTrue(Set.of("not sent", "broken off").contains(last), last);
    loop.submit(() -> {}).get();
    assertEquals(0, listener.events.size());
  }

  /** Guards against part of an answer that reaches its caller as a complete one. */
  @ParameterizedTest
  @ValueSource(ints = {0, READ_BYTES})
  @DisplayName("whose connection is reset while it is written, or waits to be, has no whole answer")
  void resetWhileWritten(int readBytes) throws Exception {
    Recorder listener = new Recorder(true);
    endpoint.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    loop.execute(() -> send(listener, LONG_BODY_BYTES));
    try (Socket s = endpoint.accept()) {
      s.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nfirst half".getBytes(US_ASCII));
      assertEquals("sent", listener.next());
      assertEquals("data", listener.next());
      s.getInputStream().readNBytes(readBytes);
      s.setSoLinger(true, 0);
    }

    assertEquals("broken off", listener.next());
    loop.submit(() -> {}).get();
    assertEquals(0, listener.events.size());
  }

  @Test
  @DisplayName(
      "that is answered before it is written has a complete answer when the endpoint ends it")
  void endedWhileWritten() throws Exception {
    Recorder listener = new Recorder(true);
    endpoint.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    loop.execute(() -> send(listener, LONG_BODY_BYTES));
    try (Socket s = endpoint.accept()) {
      s.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nall".getBytes(US_ASCII));
      assertEquals("sent", listener.next());
      assertEquals("data", listener.next());
      s.shutdownOutput();
      assertEquals("complete", listener.next());
    }
  }

  @Test
  @DisplayName("is failed by a head of many small fields, each of which takes memory")
  void manyFields() throws Exception {
    Recorder listener = new Recorder(true);
    loop.execute(() -> send(listener));
    try (Socket s = endpoint.accept()) {
      assertEquals("sent", listener.next());
      s.getOutputStream()
          .write(("HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(1_000)).getBytes(US_ASCII));
      assertEquals("failed", listener.next());
    }
  }

  /** Guards against an answer without a status that reaches its caller. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999"})
  @DisplayName("is failed by a status that HTTP does not have")
  void invalidStatus(String status) throws Exception {
    Recorder listener = new Recorder(true);
    loop.execute(() -> send(listener));
    try (Socket s = endpoint.accept()) {
      assertEquals("sent", listener.next());
      s.getOutputStream()
          .write(("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok").getBytes(US_ASCII));
      assertEquals("failed", listener.next());
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
