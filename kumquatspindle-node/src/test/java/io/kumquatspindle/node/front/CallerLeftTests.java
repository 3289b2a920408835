package io.kumquatspindle.node.front;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests that are sent to endpoints after their callers have left. */
@DisplayName("A request that a busy VM reads late")
class CallerLeftTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final AtomicInteger started = new AtomicInteger();
  private int port;
  private FrontServer server;

  @BeforeEach
  void start() throws Exception {
    port = freePort();
    NodeContext node = TestNodes.listening(new AtomicLong(50_000), loop, port);
    server =
        new FrontServer(
            node,
            (request, writer) -> {
              started.incrementAndGet();
              throw new IllegalStateException("the test has no endpoints");
            });
    server.start();
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  /** Keeps the event loop busy; returns the latch that ends this. */
  private CountDownLatch occupyLoop() {
    CountDownLatch end = new CountDownLatch(1);
    loop.execute(
        () -> {
          try {
            end.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    return end;
  }

  private Socket send() throws IOException {
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
    String request = "POST /safe/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  @Test
  @DisplayName("is dropped if its caller has left meanwhile")
  void callerLeft() throws Exception {
    CountDownLatch end = occupyLoop();
    for (int i = 0; i < 5; i++) {
      send().close();
    }
    end.countDown();
    try (Socket present = send()) {
      await().atMost(TIMEOUT).until(() -> started.get() > 0);
      await().atMost(TIMEOUT).until(() -> loop.submit(server::connectionCount).get() <= 1);
      assertEquals(1, started.get(), "only the caller that is still there");
    }
  }
}
