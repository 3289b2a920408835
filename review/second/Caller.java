import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client with one connection for each request. */
final class Caller {
  private Caller() {}

  /** An answer; status 0 if the connection ended without a complete one. */
  record Answer(int status, String body, Map<String, String> headers) {}

  static Answer get(int port, String target, Map<String, String> headers, int timeoutMs)
      throws IOException {
    return send(port, "GET", target, headers, timeoutMs);
  }

  static Answer send(
      int port, String method, String target, Map<String, String> headers, int timeoutMs)
      throws IOException {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
      s.setTcpNoDelay(true);
      s.setSoTimeout(timeoutMs);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
      if (!headers.containsKey("Host")) {
        head.append("Host: 127.0.0.1\r\n");
      }
      String body = method.equals("POST") ? "{}" : "";
      if (method.equals("POST")) {
        head.append("Content-Length: 2\r\n");
      }
      head.append("\r\n").append(body);
      s.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
      if (m == null) {
        return new Answer(0, "", Map.of());
      }
      return new Answer(
          Integer.parseInt(m.first.split(" ")[1]),
          new String(m.body, StandardCharsets.UTF_8),
          m.headers);
    }
  }
}
