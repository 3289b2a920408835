package io.kumquatspindle.control.admin;

import com.codahale.metrics.MetricRegistry;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.metrics.MetricsText;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** HTTP server of the admin pages: health checks, metrics, status and explanations of routing. */
public final class AdminServer implements AutoCloseable {
  private static final int IO_THREADS = 1;
  private static final int WORKER_THREADS = 2;
  private static final String JSON = "application/json";

  private final NettyServer server = new NettyServer();

  /**
   * Starts the server.
   *
   * @param address IP address and port
   * @param pages supplies the status and explain pages
   * @param ready returns whether the program is ready
   * @param metrics the registry of the metrics to export
   */
  public AdminServer(
      InetSocketAddress address, AdminPages pages, BooleanSupplier ready, MetricRegistry metrics) {
    // In this version of Jooby, host and port have no effect if set on the application only.
    ServerOptions options = new ServerOptions();
    options.setHost(address.getAddress().getHostAddress());
    options.setPort(address.getPort());
    options.setIoThreads(IO_THREADS);
    options.setWorkerThreads(WORKER_THREADS);
    server.setOptions(options);
    Jooby app = new Jooby();
    app.get("/health/live", ctx -> "live\n");
    app.get(
        "/health/ready",
        ctx -> {
          boolean r = ready.getAsBoolean();
          ctx.setResponseCode(r ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
          return r ? "ready\n" : "not ready\n";
        });
    app.get(
        "/metrics",
        ctx -> {
          ctx.setResponseType(MediaType.TEXT);
          return MetricsText.of(metrics);
        });
    app.get("/status", ctx -> ctx.setResponseType(JSON).send(json(pages.status())));
    app.get(
        "/explain",
        ctx -> ctx.setResponseType(JSON).send(json(pages.explain(ctx.query("model").value("")))));
    server.start(app);
  }

  private static String json(Object page) {
    return new String(Json.encode(page), StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.stop();
  }
}
