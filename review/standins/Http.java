import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 messages on plain sockets, byte for byte. */
final class Http {
  private Http() {}

  /** A message as it was read. */
  static final class Message {
    String line = "";
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** Whether the body has ended as its framing says. */
    boolean complete;

    /** Why the message ended. */
    String end = "";

    int status() {
      return line.length() < 12 ? 0 : Integer.parseInt(line.substring(9, 12));
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("closed");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  /** Reads the head of a message. */
  static Message readHead(InputStream in) throws IOException {
    Message m = new Message();
    m.line = readLine(in);
    for (String l = readLine(in); !l.isEmpty(); l = readLine(in)) {
      int colon = l.indexOf(':');
      m.headers.put(l.substring(0, colon), l.substring(colon + 1).strip());
    }
    return m;
  }

  /** Reads the body of a request that has a length or chunks. */
  static void readRequestBody(InputStream in, Message m) throws IOException {
    m.body =
        m.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")
            ? readChunks(in, new ByteArrayOutputStream())
            : in.readNBytes(Integer.parseInt(m.headers.getOrDefault("Content-Length", "0")));
    m.complete = true;
  }

  private static byte[] readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
      for (int left = length; left > 0; ) {
        byte[] part = new byte[Math.min(left, 65536)];
        int n = in.read(part);
        if (n < 0) {
          throw new EOFException("closed within a chunk");
        }
        body.write(part, 0, Math.min(n, left));
        left -= n;
      }
      readLine(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  /** Sends a request on a new connection and reads its answer, up to a time limit. */
  static Message call(String address, String head, byte[] body, int timeoutMs) {
    return call(address, head, body, timeoutMs, 0);
  }

  /** Does the same, and sends the body evenly over a time. */
  static Message call(String address, String head, byte[] body, int timeoutMs, int sendingMs) {
    Message answer = new Message();
    long end = System.currentTimeMillis() + timeoutMs;
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    try (Socket s = new Socket()) {
      int colon = address.lastIndexOf(':');
      s.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1_000);
      s.setSoTimeout(timeoutMs);
      s.setTcpNoDelay(true);
      OutputStream out = s.getOutputStream();
      out.write(bytes(head));
      int parts = sendingMs == 0 ? 1 : 50;
      for (int i = 0; i < parts; i++) {
        int from = (int) ((long) body.length * i / parts);
        out.write(body, from, (int) ((long) body.length * (i + 1) / parts) - from);
        out.flush();
        Thread.sleep(sendingMs / parts);
      }
      InputStream in = new java.io.BufferedInputStream(s.getInputStream());
      Message m = readHead(in);
      answer.line = m.line;
      answer.headers.putAll(m.headers);
      s.setSoTimeout((int) Math.max(1, end - System.currentTimeMillis()));
      if (m.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
        readChunks(in, read);
        answer.complete = true;
      } else if (m.headers.containsKey("Content-Length")) {
        int length = Integer.parseInt(m.header("Content-Length"));
        for (int left = length; left > 0; ) {
          byte[] part = new byte[Math.min(left, 65536)];
          int n = in.read(part);
          if (n < 0) {
            throw new EOFException("closed within the body");
          }
          read.write(part, 0, n);
          left -= n;
        }
        answer.complete = true;
      } else {
        in.transferTo(read);
        answer.complete = true;
      }
      answer.end = "complete";
    } catch (IOException | RuntimeException e) {
      answer.end = String.valueOf(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    answer.body = read.toByteArray();
    return answer;
  }
}
