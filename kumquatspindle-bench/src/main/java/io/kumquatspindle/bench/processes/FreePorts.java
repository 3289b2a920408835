package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports of the loopback address. */
final class FreePorts {
  private FreePorts() {}

  /** Returns distinct ports that are free now; another process could still take one. */
  static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket s : sockets) {
        s.close();
      }
    }
  }
}
