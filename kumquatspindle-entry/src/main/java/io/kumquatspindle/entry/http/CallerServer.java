package io.kumquatspindle.entry.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.Router;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.kumquatspindle.api.error.ErrorKind;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.entry.request.IncomingRequest;
import io.kumquatspindle.entry.request.RequestHandler;
import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

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
      InetSocketAddress address, int maxBodyBytes, RequestHandler handler, MonotonicClock clock) {
    this.handler = handler;
    this.clock = clock;
    Jooby app = HttpServers.newApplication("callers");
    for (String method : Router.METHODS) {
      app.route(method, "/*", this::handle);
    }
    app.error(this::handleError);
    server = HttpServers.start(app, address, maxBodyBytes);
  }

  /**
   * Starts a server.
   *
   * @param address address to listen on
   * @param maxBodyBytes maximum size of a request body, in bytes
   * @param handler handles the requests
   * @param clock the clock
   * @return the server
   */
  public static CallerServer start(
      InetSocketAddress address, int maxBodyBytes, RequestHandler handler, MonotonicClock clock) {
    return new CallerServer(address, maxBodyBytes, handler, clock);
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
    if (isMultipart(context)) {
      // Jooby decodes multipart bodies and keeps no raw copy that could be forwarded.
      reject(context, ErrorKind.MALFORMED_REQUEST, "multipart bodies are not supported", false);
      return context;
    }
    IncomingRequest request = request(context, body(context));
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
    if (cause instanceof DecoderException) {
      reject(context, ErrorKind.MALFORMED_REQUEST, "the form cannot be decoded", true);
      return;
    }
    switch (code.value()) {
      case 404 -> reject(context, ErrorKind.UNKNOWN_ROUTE, "no such path", false);
      case 405 -> reject(context, ErrorKind.METHOD_NOT_ALLOWED, "method not allowed", false);
      case 413 -> reject(context, ErrorKind.BODY_TOO_LARGE, "the body is too large", true);
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

  private static byte[] body(Context context) {
    if (!isForm(context)) {
      return context.body().bytes();
    }
    return context.form().toMultimap().entrySet().stream()
        .map(e -> encodePairs(e.getKey(), e.getValue()))
        .collect(Collectors.joining("&"))
        .getBytes(StandardCharsets.US_ASCII);
  }

  private static String encodePairs(String name, List<String> values) {
    String key = URLEncoder.encode(name, StandardCharsets.UTF_8);
    return values.stream()
        .map(v -> key + "=" + URLEncoder.encode(v, StandardCharsets.UTF_8))
        .collect(Collectors.joining("&"));
  }

  private static boolean isForm(Context context) {
    return contentType(context).startsWith("application/x-www-form-urlencoded");
  }

  private static boolean isMultipart(Context context) {
    return contentType(context).startsWith("multipart/");
  }

  private static String contentType(Context context) {
    return context.header("Content-Type").value("").strip().toLowerCase(Locale.ROOT);
  }
}
