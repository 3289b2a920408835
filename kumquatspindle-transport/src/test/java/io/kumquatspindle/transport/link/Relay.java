package io.kumquatspindle.transport.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards bytes between connections and one port, and stops forwarding on request. */
final class Relay implements AutoCloseable {
  private final ServerSocket listener;
  private final int target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile int stalledBefore;

  Relay(int target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    start(this::acceptAll);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  /** Keeps the present connections open but forwards nothing on them; new ones work. */
  void stallPresentConnections() {
    stalledBefore = sockets.size();
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket near = listener.accept();
      Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
      int index = sockets.size();
      sockets.addAll(List.of(near, far));
      start(() -> pump(near, far, index));
      start(() -> pump(far, near, index));
    }
  }

  private void pump(Socket from, Socket to, int index) throws IOException {
    InputStream in = from.getInputStream();
    OutputStream out = to.getOutputStream();
    byte[] buffer = new byte[8192];
    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
      if (index >= stalledBefore) {
        out.write(buffer, 0, n);
      }
    }
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void start(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // A closed socket ends the thread.
              }
            },
            "relay");
    t.setDaemon(true);
    t.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket s : sockets) {
      s.close();
    }
  }
}
