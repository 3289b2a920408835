package io.kumquatspindle.transport.link;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A TCP proxy to a local port that can stop forwarding on its open connections. */
final class StallableProxy implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile int firstForwardedIndex;

  StallableProxy(int target) throws IOException {
    Future<?> unused = threads.submit(() -> acceptAll(target));
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /**
   * Stops forwarding on the current connections without closing them; new ones are not affected.
   */
  void stallOpenConnections() {
    firstForwardedIndex = sockets.size();
  }

  private Void acceptAll(int target) throws IOException {
    while (true) {
      Socket near = listener.accept();
      Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
      int index = sockets.size();
      sockets.addAll(List.of(near, far));
      Future<?> unused1 = threads.submit(() -> pump(near, far, index));
      Future<?> unused2 = threads.submit(() -> pump(far, near, index));
    }
  }

  private Void pump(Socket from, Socket to, int index) throws IOException {
    InputStream in = from.getInputStream();
    byte[] buffer = new byte[8192];
    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
      if (index >= firstForwardedIndex) {
        to.getOutputStream().write(buffer, 0, n);
      }
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket s : sockets) {
      s.close();
    }
    threads.shutdown();
  }
}
