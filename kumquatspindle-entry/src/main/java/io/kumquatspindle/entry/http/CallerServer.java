package io.kumquatspindle.entry.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Router;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.request.IncomingRequest;
import io.kumquatspindle.entry.request.RequestHandler;
import io.kumquatspindle.transport.callers.CallerMemory;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The HTTP server for callers. */
public final class CallerServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final byte[] EMPTY = {};

  private final RequestHandler handler;
  private final MonotonicClock clock;
  private final NettyServer server;
  private volatile Channel serverChannel;
  private volatile boolean draining;

  private CallerServer(
      InetSocketAddress address,
      int maxBodyBytes,
      ConnectionGuard guard,
      RequestHandler handler,
      MonotonicClock clock) {
    this.handler = handler;
    this.clock = clock;
    Jooby app = HttpServers.newApplication("callers");
    for (String method : Router.METHODS) {
      app.route(method, "/*", this::handle);
    }
    app.error(this::handleError);
    server = HttpServers.start(app, address, maxBodyBytes, guard);
  }

  /**
   * Starts a server.
   *
   * @param address address to listen on
   * @param limits limits for callers
   * @param memoryLimits limits of what all callers together may take
   * @param closings records the connections that are closed
   * @param handler handles the requests
   * @param clock the clock
   * @return the server
   */
  public static CallerServer start(
      InetSocketAddress address,
      CallerLimits limits,
      CallerMemory.Limits memoryLimits,
      ConnectionClosings closings,
      RequestHandler handler,
      MonotonicClock clock) {
    ConnectionGuard guard = new CallerGuard(limits, memoryLimits, closings, clock);
    return new CallerServer(address, limits.maxBodyBytes(), guard, handler, clock);
  }

  /** Closes each connection after its next response, so that callers move to other VMs. */
  public void startDraining() {
    draining = true;
  }

  /** Stops accepting connections; requests in flight continue. */
  public void closeListener() {
    Channel channel = serverChannel;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
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

  private Object handle(Context context) {
    CallerChannel channel = CallerChannel.of(context);
    serverChannel = channel.serverChannel();
    Optional<byte[]> body = channel.takeBody();
    if (body.isEmpty()) {
      reject(context, ErrorKind.BODY_TOO_LARGE, "the body is too large", true);
      return context;
    }
    String type = context.header("Content-Type").value("").strip().toLowerCase(Locale.ROOT);
    if (type.startsWith("multipart/")) {
      reject(context, ErrorKind.MALFORMED_REQUEST, "multipart bodies are not supported", false);
      return context;
    }
    if (!channel.charge(RequestMemory.ofParsedBody(context.getRequestPath(), type, body.get()))) {
      return context;
    }
    IncomingRequest request = request(context, body.get());
    channel.submit(() -> handler.handle(request, new JoobyResponse(context, channel, draining)));
    return context;
  }

  private void handleError(Context context, Throwable cause, StatusCode code) {
    if (context.isResponseStarted()) {
      logger.atWarning().withCause(cause).log(
          "request failed after its response had started, closing the connection");
      CallerChannel.of(context).close();
      return;
    }
    switch (code.value()) {
      case 404 -> reject(context, ErrorKind.UNKNOWN_ROUTE, "no such path", false);
      case 405 -> reject(context, ErrorKind.METHOD_NOT_ALLOWED, "method not allowed", false);
      case 400 -> reject(context, ErrorKind.MALFORMED_REQUEST, "malformed request", true);
      default -> {
        logger.atSevere().withCause(cause).log("request failed");
        reject(context, ErrorKind.INTERNAL, "internal error", true);
      }
    }
  }

  private void reject(Context context, ErrorKind kind, String message, boolean close) {
    CallerChannel channel = CallerChannel.of(context);
    IncomingRequest request = request(context, EMPTY);
    JoobyResponse response = new JoobyResponse(context, channel, close || draining);
    channel.submit(() -> handler.reject(request, response, kind, message));
  }

  private IncomingRequest request(Context context, byte[] body) {
    Map<String, String> headers = new TreeMap<>();
    context.headerMap().forEach((k, v) -> headers.put(k.toLowerCase(Locale.ROOT), v));
    String query = context.queryString();
    String rawQuery = query == null ? "" : query.startsWith("?") ? query.substring(1) : query;
    String path = context.getRequestPath();
    return new IncomingRequest(context.getMethod(), path, rawQuery, headers, body, clock.nowMs());
  }
}
