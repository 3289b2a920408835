package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free TCP ports on the loopback address. */
final class FreePorts {
  private FreePorts() {}

  // Below the ephemeral port range. A port of that range is often taken by an outgoing connection
  // before the process that is to listen on it has started.
  private static final int FIRST_PORT = 12_000;
  private static final int PORT_LIMIT = 32_000;

  /** Returns distinct ports that are free now, although another process may still take one. */
  static List<Integer> find(int count) throws IOException {
    List<Integer> found = new ArrayList<>();
    int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORT_LIMIT);
    for (int tries = 0; found.size() < count; tries++) {
      if (tries >= PORT_LIMIT - FIRST_PORT) {
        throw new IOException("fewer than " + count + " free ports on the loopback address");
      }
      port = port + 1 < PORT_LIMIT ? port + 1 : FIRST_PORT;
      if (isFree(port)) {
        found.add(port);
      }
    }
    return found;
  }

  private static boolean isFree(int port) {
    try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort() == port;
    } catch (IOException e) {
      return false; // Another process listens on the port.
    }
  }
}
