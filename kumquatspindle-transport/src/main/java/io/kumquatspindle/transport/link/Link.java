package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.Message;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A connection to another process. All methods are thread-safe and non-blocking. */
public interface Link {

  /**
   * Sends a one-way message.
   *
   * @param message the message
   * @return false if the connection is closed, its write buffer is full, or the message exceeds the
   *     frame limit; true does not guarantee delivery
   */
  boolean send(Message message);

  /**
   * Sends a request and returns a future for its reply. A reply that arrives after the future has
   * completed is discarded.
   *
   * @param message the request
   * @param timeout maximum time to wait for the reply
   * @return a future that completes on an I/O thread, or immediately if the request was not sent;
   *     it fails only with a {@link LinkException}
   */
  CompletableFuture<Message> request(Message message, Duration timeout);

  /**
   * Sends a reply to a received message.
   *
   * @param request the envelope received on this connection
   * @param message the reply
   * @return false under the same conditions as {@link #send}
   */
  boolean reply(Envelope request, Message message);

  /**
   * Returns whether the connection is open, as far as this process knows.
   *
   * @return true if it is open
   */
  boolean isOpen();

  /**
   * Closes the connection; has no effect if it is already closed.
   *
   * @param reason the reason, reported to {@link LinkListener#closed}
   */
  void close(String reason);
}
