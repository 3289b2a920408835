import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a runner: one thread for each connection, which answers one request at a time. */
final class Runner implements AutoCloseable {
  /** Answers one request; returns whether the connection goes on. */
  interface Handler {
    boolean answer(Http.Message request, Socket s, InputStream in, OutputStream out)
        throws IOException, InterruptedException;
  }

  private static final int RECEIVE_BUFFER_BYTES = 65_536;

  final String id;
  final AtomicInteger running = new AtomicInteger();
  volatile Handler handler;

  /** Whether the handler reads the body of the request by itself. */
  volatile boolean bodyByHandler;

  private final ServerSocket socket;

  Runner(String id, Handler handler) throws IOException {
    this.id = id;
    this.handler = handler;
    socket = new ServerSocket();
    // A small window, as on the links of the deployments.
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    start("accept", this::accept);
  }

  private static void start(String name, Runnable task) {
    Thread t = new Thread(null, task, name, 256 * 1024);
    t.setDaemon(true);
    t.start();
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Returns this runner's entry in the store. */
  String entry(String service, String zone, int slots, String models) {
    return """
        {"service":"%s","addr":"%s","zone":"%s","version":1,"slots":%d,"state":"ready",
         "cold_left_ms":0,"seq":1,"born":1765000000000,"models":[%s]}
        """
        .formatted(service, address(), zone, slots, models);
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket s = socket.accept();
        start("runner " + id, () -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      s.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      for (boolean open = true; open; ) {
        Http.Message request = Http.readHead(in);
        if (!bodyByHandler) {
          Http.readRequestBody(in, request);
        }
        running.incrementAndGet();
        try {
          open = answerKnown(request, s, in, out);
        } finally {
          running.decrementAndGet();
        }
      }
    } catch (IOException | RuntimeException e) {
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean answerKnown(Http.Message request, Socket s, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String expected = request.header("X-Kumquatspindle-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
    return handler.answer(request, s, in, out);
  }

  /** Returns the head of a success, without its framing and its end. */
  static String head(Http.Message request) {
    return "HTTP/1.1 200 OK\r\nX-Kumquatspindle-Request-Id: "
        + request.header("X-Kumquatspindle-Request-Id")
        + "\r\nX-Kumquatspindle-Runner-Seal: seal\r\n";
  }

  /** Answers as a sound runner after its work. */
  static boolean sound(Http.Message request, OutputStream out, int workMs)
      throws IOException, InterruptedException {
    Thread.sleep(workMs);
    byte[] body = Http.bytes("whole answer of " + request.header("X-Kumquatspindle-Request-Id"));
    out.write(Http.bytes(head(request) + "Content-Length: " + body.length + "\r\n\r\n"));
    out.write(body);
    out.flush();
    return true;
  }

  /** Answers as a sound runner with a stream of events. */
  static boolean stream(Http.Message request, OutputStream out, int events, int pauseMs)
      throws IOException, InterruptedException {
    out.write(
        Http.bytes(
            head(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (int i = 1; i <= events; i++) {
      Thread.sleep(pauseMs);
      String event = "id: " + i + "\ndata: piece " + i + "\n\n";
      out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
      out.flush();
    }
    out.write(Http.bytes("0\r\n\r\n"));
    out.flush();
    return true;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
