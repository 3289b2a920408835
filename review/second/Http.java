import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A small HTTP/1.1 server and the parsing of messages, on loopback addresses. */
final class Http {
  private static final int BACKLOG = 512;
  private static final int MIN_PORT = 20_000;
  private static final int MAX_PORT = 32_000;
  private static final int MAX_PORT_TRIES = 1_000;
  private static final Set<Integer> TAKEN_PORTS = new HashSet<>();

  private Http() {}

  /** A request or the head of a response. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    Map<String, String> query() {
      Map<String, String> q = new LinkedHashMap<>();
      int mark = target().indexOf('?');
      if (mark >= 0) {
        for (String pair : target().substring(mark + 1).split("&")) {
          int eq = pair.indexOf('=');
          q.put(
              pair.substring(0, Math.max(0, eq)),
              java.net.URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
        }
      }
      return q;
    }
  }

  /** Handles the requests of one connection; returns whether to read another one. */
  interface Handler {
    boolean handle(Message request, Socket connection, OutputStream out) throws IOException;
  }

  /** A listening socket with a thread for each connection. */
  static final class Server {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = Collections.newSetFromMap(new ConcurrentHashMap<>());

    Server(int port, Handler handler) throws IOException {
      this.listener = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
      this.handler = handler;
      daemon(this::acceptAll);
    }

    int port() {
      return listener.getLocalPort();
    }

    /** Resets all open connections. */
    void resetAll() {
      for (Socket s : open) {
        reset(s);
      }
    }

    void close() throws IOException {
      listener.close();
      resetAll();
    }

    private void acceptAll() {
      while (!listener.isClosed()) {
        try {
          Socket s = listener.accept();
          s.setTcpNoDelay(true);
          open.add(s);
          daemon(() -> serve(s));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket s) {
      try (s) {
        InputStream in = new BufferedInputStream(s.getInputStream());
        OutputStream out = s.getOutputStream();
        for (Message m = read(in); m != null; m = read(in)) {
          if (!handler.handle(m, s, out)) {
            return;
          }
        }
      } catch (IOException e) {
        // The other side has left.
      } finally {
        open.remove(s);
      }
    }
  }

  static void daemon(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }

  static void reset(Socket s) {
    try {
      s.setSoLinger(true, 0);
      s.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  /** Reads a message with its body; returns null at the end of the connection. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    Message m = new Message();
    m.first = first;
    for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      m.headers.put(
          l.substring(0, colon).strip().toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    String length = m.header("Content-Length");
    if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
      m.body = chunks(in);
    } else if (length != null) {
      m.body = in.readNBytes(Integer.parseInt(length));
    }
    return m;
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new IOException("connection ended within a chunked body");
      }
      int n = Integer.parseInt(size.split(";")[0].strip(), 16);
      if (n == 0) {
        line(in);
        return body.toByteArray();
      }
      byte[] chunk = in.readNBytes(n);
      if (chunk.length < n) {
        throw new IOException("connection ended within a chunk");
      }
      body.write(chunk);
      line(in);
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream l = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        l.write(b);
      }
      b = in.read();
    }
    return l.toString(StandardCharsets.ISO_8859_1);
  }

  /** Encodes a complete response. */
  static byte[] response(int status, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] h = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[h.length + body.length];
    System.arraycopy(h, 0, all, 0, h.length);
    System.arraycopy(body, 0, all, h.length, body.length);
    return all;
  }

  /** Returns a free port outside the range from which outgoing connections take theirs. */
  static synchronized int freePort() throws IOException {
    for (int tries = 0; tries < MAX_PORT_TRIES; tries++) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (TAKEN_PORTS.add(port) && isFree(port)) {
        return port;
      }
    }
    throw new IOException("no free port");
  }

  private static boolean isFree(int port) {
    try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return s.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  static String field(String json, String name) {
    java.util.regex.Matcher m =
        java.util.regex.Pattern.compile(
                "\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|(-?[0-9]+))")
            .matcher(json);
    if (!m.find()) {
      return null;
    }
    return m.group(1) != null ? m.group(1) : m.group(2);
  }

  static List<String> list(String json, String name) {
    List<String> values = new ArrayList<>();
    java.util.regex.Matcher m =
        java.util.regex.Pattern.compile("\"" + name + "\"\\s*:\\s*\\[([^\\]]*)\\]").matcher(json);
    if (m.find()) {
      for (String v : m.group(1).split(",")) {
        values.add(v.strip().replace("\"", ""));
      }
    }
    return values;
  }
}
