package io.kumquatspindle.bench.system;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller's persistent HTTP connection. */
final class KeepAliveConnection implements AutoCloseable {
  private static final int TIMEOUT_MS = 5_000;

  private final Socket socket;
  private final InputStream in;
  private final String request;

  KeepAliveConnection(URI entry, String key) throws IOException {
    socket = new Socket(entry.getHost(), entry.getPort());
    socket.setSoTimeout(TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
    request =
        "GET /v1/models HTTP/1.1\r\nHost: "
            + entry.getAuthority()
            + "\r\nAuthorization: Bearer "
            + key
            + "\r\n\r\n";
  }

  /** Requests the model list on the connection and returns status and body of the answer. */
  Http.Reply getModels() throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    int status = Integer.parseInt(readLine().split(" ")[1]);
    int length = 0;
    for (String h = readLine(); !h.isEmpty(); h = readLine()) {
      String lower = h.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip());
      }
    }
    return new Http.Reply(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  private String readLine() throws IOException {
    StringBuilder s = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("connection closed by the entry");
      }
      s.append((char) c);
    }
    return s.toString().stripTrailing();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
