package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
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

@DisplayName("Calls over kept connections")
class HttpCallsTests {
  private static final long LIMIT_MS = 500;
  private static final int CONNECTIONS = 3;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final HttpCalls calls = new HttpCalls(group.next());
  private SilentServer server;

  @BeforeEach
  void start() throws IOException {
    server = new SilentServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpCalls.Result> call() {
    CompletableFuture<HttpCalls.Result> result = new CompletableFuture<>();
    group
        .next()
        .execute(
            () ->
                calls.call(
                    "127.0.0.1",
                    server.port(),
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                    true,
                    LIMIT_MS,
                    result::complete));
    return result;
  }

  @Test
  @DisplayName("do not try one silent connection after the other")
  void allSilent() throws Exception {
    List<CompletableFuture<HttpCalls.Result>> together = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      together.add(call());
    }
    for (CompletableFuture<HttpCalls.Result> c : together) {
      assertInstanceOf(HttpCalls.Result.Answered.class, c.get(5, TimeUnit.SECONDS));
    }
    assertEquals(CONNECTIONS, server.silenceOpen());

    assertInstanceOf(HttpCalls.Result.Failed.class, call().get(5, TimeUnit.SECONDS));
    assertInstanceOf(HttpCalls.Result.Answered.class, call().get(5, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("wait for an answer that is coming over a slow link")
  void slowLink() throws Exception {
    server.pauseMs = LIMIT_MS * 2 / SilentServer.PIECES;

    assertInstanceOf(HttpCalls.Result.Answered.class, call().get(5, TimeUnit.SECONDS));
  }

  /** Answers each request, but none on connections that have gone silent. */
  private static final class SilentServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private static final int PIECES = 4;

    /** Pause before each piece of an answer, in ms. */
    private volatile long pauseMs;

    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

    SilentServer() throws IOException {
      new Thread(this::accept, "silent-server").start();
    }

    int port() {
      return listener.getLocalPort();
    }

    int silenceOpen() {
      silent.addAll(open);
      return silent.size();
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
          if (line.isEmpty() && !silent.contains(s)) {
            answer(s.getOutputStream());
          }
        }
      } catch (IOException e) {
        // The caller has closed the connection.
        return;
      }
    }

    private void answer(OutputStream out) throws IOException {
      out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES + "\r\n\r\n"));
      for (int i = 0; i < PIECES; i++) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMs));
        out.write(bytes("x"));
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
