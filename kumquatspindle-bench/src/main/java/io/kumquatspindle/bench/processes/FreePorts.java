package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports of the loopback address. */
final class FreePorts {
  private FreePorts() {}

  // Below the range from which the system takes the ports of outgoing connections; a port of that
  // range is often taken between its choice and the start of the process that listens on it.
  private static final int FIRST = 12_000;
  private static final int END = 32_000;

  /** Returns distinct ports that are free now; another process could still take one. */
  static List<Integer> find(int count) throws IOException {
    List<Integer> found = new ArrayList<>();
    int port = ThreadLocalRandom.current().nextInt(FIRST, END);
    for (int tries = 0; found.size() < count; tries++) {
      if (tries >= END - FIRST) {
        throw new IOException("fewer than " + count + " ports are free");
      }
      port = port + 1 < END ? port + 1 : FIRST;
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
      return false; // Another process listens on it.
    }
  }
}
