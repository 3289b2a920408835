package io.kumquatspindle.bench.system;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One connection of a caller that stays open between requests. */
final class OpenConnection implements AutoCloseable {
  private static final int TIMEOUT_MS = 5_000;

  private final Socket socket;
  private final InputStream in;
  private final String request;

  OpenConnection(URI entry, String key) throws IOException {
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

  /** Sends a request on the connection and returns the answer's status and body. */
  Http.Reply ask() throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    int status = Integer.parseInt(line().split(" ")[1]);
    int length = 0;
    for (String h = line(); !h.isEmpty(); h = line()) {
      String lower = h.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip());
      }
    }
    return new Http.Reply(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  private String line() throws IOException {
    StringBuilder s = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("connection closed");
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
