package io.kumquatspindle.entry.request;

import java.io.IOException;
import java.util.Map;

/** The HTTP answer to one request. Methods may be called on any thread. */
public interface CallerResponse {

  /**
   * Sends a whole answer.
   *
   * @param status HTTP status
   * @param headers headers
   * @param body the body
   */
  void send(int status, Map<String, String> headers, byte[] body);

  /**
   * Starts an answer whose parts arrive one by one.
   *
   * @param status HTTP status
   * @param headers headers
   * @return where the parts go
   */
  Stream startStream(int status, Map<String, String> headers);

  /**
   * Subscribes to the caller closing its connection.
   *
   * @param listener called at most once, at once if the connection is closed already
   */
  void onDisconnect(Runnable listener);

  /**
   * Tells that the request has ended. The connection takes the next one when the answer has been
   * written.
   *
   * @param written called when the answer has been written or the connection is closed
   */
  void requestEnded(Runnable written);

  /** A streamed answer. */
  interface Stream {

    /**
     * Writes a part, and waits while too much of the answer has not been taken by the connection.
     *
     * @param part the part
     * @throws IOException if an earlier part found the caller gone, or nothing is taken for too
     *     long
     */
    void write(byte[] part) throws IOException;

    /** Ends the answer. */
    void end();

    /**
     * Closes the connection after what was written, without the end of the body. A caller neither
     * takes the answer for a whole one nor sends its next request on the connection.
     */
    void close();
  }
}
