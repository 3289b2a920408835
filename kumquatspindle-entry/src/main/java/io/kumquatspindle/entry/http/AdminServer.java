package io.kumquatspindle.entry.http;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.netty.NettyServer;
import io.kumquatspindle.api.metrics.MetricsText;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.observe.EntryMetrics;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/** The HTTP server for health checks and metrics. */
public final class AdminServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 1024;

  private final NettyServer server;

  private AdminServer(NettyServer server) {
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param address address to listen on
   * @param ready whether the program accepts requests
   * @param metrics metrics to expose
   * @param clock the clock
   * @return the server
   */
  public static AdminServer start(
      InetSocketAddress address,
      BooleanSupplier ready,
      EntryMetrics metrics,
      MonotonicClock clock) {
    Jooby app = HttpServers.newApplication("admin");
    app.get("/health/live", c -> text(c, 200, "live\n"));
    app.get("/health/ready", c -> ready(c, ready.getAsBoolean()));
    app.get("/metrics", c -> text(c, 200, MetricsText.of(metrics.registry())));
    ConnectionGuard guard = new AdminGuard(metrics.closings("admin", clock), clock);
    return new AdminServer(HttpServers.start(app, address, MAX_BODY_BYTES, guard));
  }

  /**
   * Returns the port on which the server listens.
   *
   * @return the port
   */
  public int port() {
    return server.getOptions().getPort();
  }

  @Override
  public void close() {
    server.stop();
  }

  private static Context ready(Context context, boolean ready) {
    return text(context, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  private static Context text(Context context, int status, String body) {
    context.setResponseCode(status);
    context.setResponseHeader("Content-Type", "text/plain; charset=utf-8");
    return context.send(body);
  }
}
