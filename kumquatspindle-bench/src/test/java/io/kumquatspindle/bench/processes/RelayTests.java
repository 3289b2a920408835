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

  private ServerSocket echoServer;
  private Relay relay;

  @BeforeEach
  void start() throws IOException {
    echoServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread t = new Thread(this::acceptConnections);
    t.setDaemon(true);
    t.start();
    InetSocketAddress target = new InetSocketAddress("127.0.0.1", echoServer.getLocalPort());
    relay = Relay.to(target, 0, List.of("vm-1", "vm-10"));
  }

  @AfterEach
  void stop() throws IOException {
    relay.close();
    echoServer.close();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket s = echoServer.accept();
        Thread t = new Thread(() -> echoInput(s));
        t.setDaemon(true);
        t.start();
      }
    } catch (IOException e) {
      // The server socket was closed at the end of the test.
    }
  }

  private static void echoInput(Socket s) {
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

  /** Sends a byte and returns the byte received, or -1 if the connection is closed. */
  private static int sendAndReceive(Socket s, int b) throws IOException {
    s.getOutputStream().write(b);
    return s.getInputStream().read();
  }

  /** Connects like a VM, which sends its name as MessagePack in the first bytes. */
  private Socket connectAs(String vm) throws IOException {
    Socket s = connect();
    s.getOutputStream().write(0x90);
    s.getOutputStream().write(0xa0 | vm.length());
    s.getOutputStream().write((vm + "!").getBytes(StandardCharsets.UTF_8));
    return s;
  }

  @Test
  @DisplayName("identifies the source by the first name when a later message names another VM")
  void identifiesSourceByFirstName() throws IOException {
    relay.stall(Set.of("vm-1"));
    try (Socket s = connect()) {
      s.getOutputStream().write("\u00a4vm-1\u00a5vm-10!".getBytes(StandardCharsets.ISO_8859_1));
      assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
    }
  }

  @Test
  @DisplayName("identifies a source whose name does not arrive in the first segment")
  void identifiesSourceInLaterSegment() throws IOException {
    relay.stall(Set.of("vm-1"));
    try (Socket vm1 = connect();
        Socket vm10 = connect()) {
      for (Socket s : List.of(vm1, vm10)) {
        s.getOutputStream().write(0x90);
        // Waits until the first segment has been read; nothing is forwarded without a name.
        assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
      }
      vm1.getOutputStream().write("\u00a4vm-1!".getBytes(StandardCharsets.ISO_8859_1));
      vm10.getOutputStream().write("\u00a5vm-10!".getBytes(StandardCharsets.ISO_8859_1));
      assertEquals(0x90, vm10.getInputStream().read());
      assertThrows(SocketTimeoutException.class, () -> vm1.getInputStream().read());
    }
  }

  @Test
  @DisplayName("forwards data in both directions")
  void passes() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, sendAndReceive(s, 7));
    }
  }

  @Test
  @DisplayName("cut: closes open and new connections until forwarding is restored")
  void cuts() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, sendAndReceive(s, 7));
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
  @DisplayName("silent: keeps connections open, buffers data and delivers it later")
  void silences() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, sendAndReceive(s, 7));
      relay.stall();
      assertThrows(SocketTimeoutException.class, () -> sendAndReceive(s, 8));
      relay.forward();
      assertEquals(8, s.getInputStream().read());
    }
  }

  @Test
  @DisplayName("can silence open connections permanently while new ones work")
  void silencesOpenConnectionsOnly() throws IOException {
    try (Socket s = connect()) {
      assertEquals(7, sendAndReceive(s, 7));
      relay.stallOpenConnections();
      relay.forward();
      assertThrows(SocketTimeoutException.class, () -> sendAndReceive(s, 8));
      passes();
    }
  }

  @Test
  @DisplayName("delays data in both directions")
  void delays() throws IOException {
    relay.delay(Duration.ofMillis(50));
    try (Socket s = connect()) {
      long start = System.nanoTime();
      assertEquals(7, sendAndReceive(s, 7));
      assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(100));
    }
  }

  @Test
  @DisplayName(
      "affects only the named sources, not a source whose name has one of them as a prefix")
  void affectsNamedSourcesOnly() throws IOException {
    relay.stall(Set.of("vm-1"));
    try (Socket vm1 = connectAs("vm-1");
        Socket vm10 = connectAs("vm-10")) {
      assertEquals(0x90, vm10.getInputStream().read());
      // Nothing is forwarded, not even the first bytes, which contain the name.
      assertThrows(SocketTimeoutException.class, () -> vm1.getInputStream().read());
      relay.forward();
      assertEquals(0x90, vm1.getInputStream().read());
    }
    relay.cut(Set.of());
    passes();
  }
}
