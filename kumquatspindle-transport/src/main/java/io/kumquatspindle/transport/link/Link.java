package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.api.message.Message;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A connection to another process. All methods may be called on any thread and none blocks. */
public interface Link {

  /**
   * Sends a message that is not a reply.
   *
   * @param message the message
   * @return false if the connection is closed, its write buffer is full, or the message is larger
   *     than a frame; true does not mean that the message arrives
   */
  boolean send(Message message);

  /**
   * Sends a message and waits for the reply to it. A reply that comes after the future has
   * completed is dropped.
   *
   * @param message the message
   * @param timeout how long to wait for the reply
   * @return completes on an I/O thread, or at once if nothing was sent; exceptionally always with a
   *     {@link LinkException}
   */
  CompletableFuture<Message> ask(Message message, Duration timeout);

  /**
   * Answers a message.
   *
   * @param request the envelope that was received on this connection
   * @param message the answer
   * @return false in the same cases as {@link #send}
   */
  boolean reply(Envelope request, Message message);

  /**
   * Tells whether the connection can carry messages, as far as this side knows.
   *
   * @return whether it is open
   */
  boolean isOpen();

  /**
   * Closes the connection; has no effect if it is closed.
   *
   * @param reason why, for the log and for {@link LinkListener#closed}
   */
  void close(String reason);
}
