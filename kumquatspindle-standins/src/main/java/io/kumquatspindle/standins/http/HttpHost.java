package io.kumquatspindle.standins.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Router;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import io.kumquatspindle.api.time.SystemTimerService;
import io.kumquatspindle.api.time.TimerService;
import io.netty.channel.ServerChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A Jooby server that listens on any number of addresses with the same threads.
 *
 * <p>All stand-ins of a process share one host.
 */
public final class HttpHost implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ANY_PATH = "/*";
  private static final int MAX_REQUEST_BYTES = 32 << 20;

  static {
    System.setProperty("io.netty.bootstrap.extensions", "serviceload");
    System.setProperty("jooby.useShutdownHook", "false");
  }

  private final NettyServer server;
  private final ServerChannel primaryChannel;
  private final ExecutorService workers;
  private final TimerService timers = new SystemTimerService("stand-in-timers");
  private final Map<String, Connection> connections = new ConcurrentHashMap<>();
  private final AtomicLong lastConnectionNumber = new AtomicLong();

  private HttpHost(int threads) {
    workers = Executors.newFixedThreadPool(threads, HttpHost::workerThread);
    server = new NettyServer(workers);
    ServerOptions options = new ServerOptions().setPort(0).setIoThreads(threads);
    options.setHost("127.0.0.1");
    options.setHttp2(false).setMaxRequestSize(MAX_REQUEST_BYTES);
    server.setOptions(options);
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.EVENT_LOOP);
    for (String method : Router.METHODS) {
      app.route(method, ANY_PATH, this::dispatch).setNonBlocking(true);
    }
    primaryChannel = start(server, app);
  }

  /**
   * Starts a server that does not listen on the address of any stand-in yet.
   *
   * @param threads number of I/O threads and of worker threads
   * @return the running server
   */
  public static HttpHost start(int threads) {
    return new HttpHost(threads);
  }

  /**
   * Listens on a further address.
   *
   * @param address host and port; port 0 selects a free port
   * @param standIn handles the requests
   * @return the bound listener
   * @throws IOException if the address cannot be bound
   */
  public Listener listen(InetSocketAddress address, StandIn standIn) throws IOException {
    Listener l = new Listener(this, standIn, address);
    l.bind();
    return l;
  }

  /**
   * Returns the timers that the stand-ins share.
   *
   * @return the timer service
   */
  public TimerService timers() {
    return timers;
  }

  @Override
  public void close() {
    timers.close();
    server.stop();
    workers.shutdownNow();
  }

  ServerChannel primaryChannel() {
    return primaryChannel;
  }

  String register(Connection c) {
    String number = Long.toString(lastConnectionNumber.incrementAndGet());
    connections.put(number, c);
    return number;
  }

  void unregister(String number) {
    connections.remove(number);
  }

  private static ServerChannel start(NettyServer server, Jooby app) {
    synchronized (HttpHost.class) { // ListenerCapture holds only the newest channel.
      server.start(app);
      return ListenerCapture.last();
    }
  }

  private Object dispatch(Context ctx) {
    // Responses must be sent outside the event loop, because Jooby flushes data that is sent on the
    // event loop only after a read.
    return ctx.dispatch(workers, () -> handle(ctx));
  }

  private void handle(Context ctx) {
    Connection c = connections.get(ctx.header(ConnectionTagHandler.HEADER).value(""));
    if (c == null) {
      ctx.setResponseCode(404).send("");
      return;
    }
    HttpServerExchange exchange = new HttpServerExchange(ctx, c);
    try {
      c.listener().standIn().handle(exchange);
    } catch (IOException | IllegalArgumentException e) {
      exchange.reply(400, Map.of("error", String.valueOf(e.getMessage())));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("unhandled exception in a stand-in");
      exchange.reply(500, Map.of("error", e.toString()));
    }
  }

  private static Thread workerThread(Runnable r) {
    Thread t = new Thread(r, "stand-in-worker");
    t.setDaemon(true);
    return t;
  }
}
