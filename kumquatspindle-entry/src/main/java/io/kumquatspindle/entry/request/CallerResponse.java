package io.kumquatspindle.entry.request;

import java.io.IOException;
import java.util.Map;

/** Writes the HTTP response to one request. Methods may be called on any thread. */
public interface CallerResponse {

  /**
   * Sends a complete response.
   *
   * @param status HTTP status
   * @param headers response headers
   * @param body response body
   */
  void send(int status, Map<String, String> headers, byte[] body);

  /**
   * Starts a response whose body is written in parts.
   *
   * @param status HTTP status
   * @param headers response headers
   * @return the stream that takes the parts
   */
  Stream startStream(int status, Map<String, String> headers);

  /**
   * Registers a listener for the caller closing its connection.
   *
   * @param listener called at most once; immediately if the connection is already closed
   */
  void onDisconnect(Runnable listener);

  /**
   * Signals that the request has ended. The connection processes its next request once the response
   * has been written.
   *
   * @param onWritten called when the response has been written or the connection is closed
   */
  void requestEnded(Runnable onWritten);

  /** A streamed response body. */
  interface Stream {

    /**
     * Writes a part. Blocks while too many earlier bytes are still waiting to be sent.
     *
     * @param part the part
     * @throws IOException if writing an earlier part failed, or the caller accepts no data for too
     *     long
     */
    void write(byte[] part) throws IOException;

    /** Ends the response body. */
    void end();

    /**
     * Closes the connection after the written parts have been sent, without terminating the body.
     * The caller thus detects the truncated response and does not reuse the connection.
     */
    void close();
  }
}
