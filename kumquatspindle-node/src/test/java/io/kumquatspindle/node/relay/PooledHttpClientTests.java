package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("Pooled HTTP client")
class PooledHttpClientTests {
  private static final long TIMEOUT_MS = 500;
  private static final int CONNECTIONS = 3;
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final PooledHttpClient client = new PooledHttpClient(group.next(), MAX_RESPONSE_BYTES);
  private StallingServer server;

  @BeforeEach
  void start() throws IOException {
    server = new StallingServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<PooledHttpClient.Result> call() {
    return call(server.port(), 0);
  }

  private CompletableFuture<PooledHttpClient.Result> call(int port, int bodyBytes) {
    CompletableFuture<PooledHttpClient.Result> result = new CompletableFuture<>();
    group
        .next()
        .execute(
            () ->
                client.call(
                    "127.0.0.1",
                    port,
                    new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/",
                        Unpooled.wrappedBuffer(new byte[bodyBytes])),
                    true,
                    TIMEOUT_MS,
                    result::complete));
    return result;
  }

  @Test
  @DisplayName("closes all pooled connections to a server when a call on one of them times out")
  void discardsStalledConnectionsTogether() throws Exception {
    List<CompletableFuture<PooledHttpClient.Result>> together = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      together.add(call());
    }
    for (CompletableFuture<PooledHttpClient.Result> c : together) {
      assertInstanceOf(PooledHttpClient.Result.Completed.class, c.get(5, TimeUnit.SECONDS));
    }
    assertEquals(CONNECTIONS, server.stallOpenConnections());

    assertInstanceOf(PooledHttpClient.Result.Failed.class, call().get(5, TimeUnit.SECONDS));
    assertInstanceOf(PooledHttpClient.Result.Completed.class, call().get(5, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("waits for a response in transit over a slow link")
  void waitsForSlowResponse() throws Exception {
    server.pauseMs = TIMEOUT_MS * 2 / StallingServer.PIECES;

    assertInstanceOf(PooledHttpClient.Result.Completed.class, call().get(5, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("does not take bytes behind a response for the beginning of the next response")
  void discardsBytesAfterResponse() throws Exception {
    server.trailing = "HTTP/1.1 404 Not Found\r\nServer: ";
    assertInstanceOf(PooledHttpClient.Result.Completed.class, call().get(5, TimeUnit.SECONDS));
    server.trailing = "";

    PooledHttpClient.Result second = call().get(5, TimeUnit.SECONDS);
    assertEquals(200, assertInstanceOf(PooledHttpClient.Result.Completed.class, second).status());
  }

  @Test
  @DisplayName("does not take part of another response for the beginning of a response")
  void rejectsMergedHeads() throws Exception {
    server.leading = "HTTP/1.1 202 Accepted\r\nServer: ";

    assertInstanceOf(PooledHttpClient.Result.Failed.class, call().get(5, TimeUnit.SECONDS));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 8 * 1024 * 1024})
  @DisplayName("does not take a response without framing for complete when the connection is reset")
  void resetWhileWritten(int readBytes) throws Exception {
    try (ServerSocket listener = new ServerSocket()) {
      listener.setReceiveBufferSize(65_536);
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      CompletableFuture<PooledHttpClient.Result> call =
          call(listener.getLocalPort(), 32 * 1024 * 1024);
      try (Socket s = listener.accept()) {
        s.getOutputStream()
            .write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.US_ASCII));
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        s.getInputStream().readNBytes(readBytes);
        s.setSoLinger(true, 0);
      }
      assertInstanceOf(PooledHttpClient.Result.Failed.class, call.get(5, TimeUnit.SECONDS));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999"})
  @DisplayName("does not take a response for complete whose status HTTP does not have")
  void invalidStatus(String status) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<PooledHttpClient.Result> call = call(listener.getLocalPort(), 0);
      try (Socket s = listener.accept()) {
        s.getOutputStream()
            .write(
                ("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok")
                    .getBytes(StandardCharsets.US_ASCII));
        assertInstanceOf(PooledHttpClient.Result.Failed.class, call.get(5, TimeUnit.SECONDS));
      }
    }
  }

  @Test
  @DisplayName("gives up a response that is larger than the limit")
  void largeResponse() throws Exception {
    server.pieces = MAX_RESPONSE_BYTES + 1;

    assertInstanceOf(PooledHttpClient.Result.Failed.class, call().get(5, TimeUnit.SECONDS));
  }

  /** HTTP server that answers each request, except on connections that have been stalled. */
  private static final class StallingServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private static final int PIECES = 4;

    /** Number of bytes in a response, each sent by itself. */
    private volatile int pieces = PIECES;

    /** Pause before each piece of a response, in ms. */
    private volatile long pauseMs;

    /** Bytes before each response. */
    private volatile String leading = "";

    /** Bytes behind each response. */
    private volatile String trailing = "";

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> stalled = ConcurrentHashMap.newKeySet();

    StallingServer() throws IOException {
      new Thread(this::accept, "silent-server").start();
    }

    int port() {
      return listener.getLocalPort();
    }

    int stallOpenConnections() {
      stalled.addAll(open);
      return stalled.size();
    }

    private void accept() {
      try {
        while (true) {
          Socket s = listener.accept();
          open.add(s);
          new Thread(() -> serve(s), "silent-connection").start();
        }
      } catch (IOException e) {
        // The test has ended.
        return;
      }
    }

    private void serve(Socket s) {
      try (s) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.isEmpty() && !stalled.contains(s)) {
            respond(s.getOutputStream());
          }
        }
      } catch (IOException e) {
        // The client has closed the connection.
        return;
      }
    }

    private void respond(OutputStream out) throws IOException {
      out.write(bytes(leading + "HTTP/1.1 200 OK\r\nContent-Length: " + pieces + "\r\n\r\n"));
      for (int i = 0; i < pieces; i++) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMs));
        out.write(bytes(i == pieces - 1 ? "x" + trailing : "x"));
      }
    }

    private static byte[] bytes(String text) {
      return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket s : open) {
        s.close();
      }
    }
  }
}
