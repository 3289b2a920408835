package io.kumquatspindle.entry.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import java.net.InetSocketAddress;
import java.util.List;

/** Starts Jooby applications on Netty. */
final class HttpServers {
  static {
    // Otherwise Jooby closes its listeners on SIGTERM before running requests have ended.
    System.setProperty("jooby.useShutdownHook", "false");
    // Makes Netty load CurrentChannel. Netty reads the property when its first server is created.
    System.setProperty("io.netty.bootstrap.extensions", "serviceload");
  }

  private HttpServers() {}

  static Jooby newApplication(String name) {
    Jooby app = new Jooby();
    app.setName(name);
    app.setExecutionMode(ExecutionMode.EVENT_LOOP);
    app.setStartupSummary(List.of(StartupSummary.NONE));
    return app;
  }

  // All connections of the server have the same event loop, since guards are not thread-safe.
  static NettyServer start(
      Jooby app, InetSocketAddress address, int maxBodyBytes, ConnectionGuard guard) {
    ServerOptions options = new ServerOptions();
    options.setHost(address.getHostString());
    options.setPort(address.getPort());
    options.setMaxRequestSize(maxBodyBytes);
    // Jooby writes a body that is larger than the buffer to a temporary file.
    options.setBufferSize(maxBodyBytes + 1);
    options.setDefaultHeaders(false);
    options.setIoThreads(1);
    NettyServer server = new NettyServer();
    server.setOptions(options);
    CurrentChannel.guarding(guard, () -> server.start(app));
    return server;
  }
}
