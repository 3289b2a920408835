package io.kumquatspindle.bench.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Relay")
class RelayTests {
  private static final int TIMEOUT_MS = 300;

  private ServerSocket echo;
  private Relay relay;

  @BeforeEach
  void start() throws IOException {
    echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread t = new Thread(this::serve);
    t.setDaemon(true);
    t.start();
    InetSocketAddress target = new InetSocketAddress("127.0.0.1", echo.getLocalPort());
    relay = Relay.to(target, 0, List.of("vm-1", "vm-10"));
  }

  @AfterEach
  void stop() throws IOException {
    relay.close();
    echo.close();
  }

  private void serve() {
    try {
      while (true) {
        Socket s = echo.accept();
        Thread t = new Thread(() -> copy(s));
        t.setDaemon(true);
        t.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void copy(Socket s) {
    try (s;
        InputStream in = s.getInputStream()) {
      in.transferTo(s.getOutputStream());
    } catch (IOException e) {
      // The relay has closed the connection.
    }
  }

  private Socket connect() throws IOException {
    Socket s = new Socket("127.0.0.1", relay.port());
    s.setSoTimeout(TIMEOUT_MS);
    return s;
  }

  /** Sends a byte and returns the answer; -1 if the connection is closed. */
  private static int ask(Socket s, int b) throws IOException {
    s.getOutputStream().write(b);
    return s.getInputStream().read();
  }

  /** Connects as a VM does that names itself in its first bytes, as MessagePack. */
  private Socket connectAs(String vm) throws IOException {
    Socket s = connect();
    s.getOutputStream().write(0x90);
    s.getOutputStream().write(0xa0 | vm.length());
    s.getOutputStream().write((vm + "!").getBytes(StandardCharsets.UTF_8));
    return s;
  }

  @Test
  @DisplayName("takes the first name for the source when a later message names another VM")
  void takesFirstName() throws IOException {
    relay.stall(Set.of("vm-1"));
    try (Socket s = connect()) {
      s.getOutputStream().write("\u00a4vm-1\u00a5vm-10!".getBytes(StandardCharsets.ISO_8859_1));
      assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
    }
  }

  @Test
  @DisplayName("passes data in both directions")
  void passes() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, ask(s, 7));
    }
  }

  @Test
  @DisplayName("cut: closes open and new connections, until it passes again")
  void cuts() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, ask(s, 7));
      relay.cut();
      assertEquals(-1, s.getInputStream().read());
    }
    try (Socket s = connect()) {
      assertEquals(-1, s.getInputStream().read());
    }
    relay.forward();
    passes();
  }

  @Test
  @DisplayName("silent: keeps connections open without data and delivers later what it held back")
  void silences() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, ask(s, 7));
      relay.stall();
      assertThrows(SocketTimeoutException.class, () -> ask(s, 8));
      relay.forward();
      assertEquals(8, s.getInputStream().read());
    }
  }

  @Test
  @DisplayName("open connections can stay silent for ever while new ones work")
  void silencesOpenOnly() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, ask(s, 7));
      relay.stallOpenConnections();
      relay.forward();
      assertThrows(SocketTimeoutException.class, () -> ask(s, 8));
      passes();
    }
  }

  @Test
  @DisplayName("delays data in both directions")
  void delays() throws IOException {
    relay.delay(Duration.ofMillis(50));
    try (Socket s = connect()) {
      long start = System.nanoTime();
      assertEquals(7, ask(s, 7));
      assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(100));
    }
  }

  @Test
  @DisplayName("disturbs only connections of the named sources, not of a source with a longer name")
  void disturbsSources() throws IOException {
    relay.stall(Set.of("vm-1"));
    try (Socket one = connectAs("vm-1");
        Socket ten = connectAs("vm-10")) {
      assertEquals(0x90, ten.getInputStream().read());
      // Nothing gets through, not even the first bytes, which carry the name.
      assertThrows(SocketTimeoutException.class, () -> one.getInputStream().read());
      relay.forward();
      assertEquals(0x90, one.getInputStream().read());
    }
    relay.cut(Set.of());
    passes();
  }
}
