package io.kumquatspindle.transport.platform;

import java.io.IOException;
import okhttp3.Response;

/** Rejects responses that OkHttp accepts although they are not complete answers in HTTP. */
public final class ResponseChecks {
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private ResponseChecks() {}

  /**
   * Checks the head of a response, and closes a response that it rejects.
   *
   * @param response the response, whose body has not been read
   * @param requestWritten whether the request was written to its end
   * @return the response
   * @throws IOException if the status is not one of HTTP, or if the end of the body could not be
   *     told from a reset: a write that finds the connection reset consumes the error, and OkHttp
   *     then reads the end of the connection as that of a body without framing
   */
  public static Response requireAnswer(Response response, boolean requestWritten)
      throws IOException {
    if (response.code() < MIN_STATUS || response.code() > MAX_STATUS) {
      throw rejected(response, "invalid status " + response.code());
    }
    boolean framed =
        response.header("Content-Length") != null || response.header("Transfer-Encoding") != null;
    if (!requestWritten && !framed) {
      throw rejected(response, "connection lost while the request was written");
    }
    return response;
  }

  private static IOException rejected(Response response, String reason) {
    response.close();
    return new IOException(reason);
  }
}
