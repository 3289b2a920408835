package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.ReadResult;

/** Receives what a {@link StreamFollower} reads; called on the follower's thread. */
public interface StreamListener {

  /**
   * Takes the result of a read.
   *
   * @param batch the records, possibly none
   * @param askedAtMs when the read was sent, on the monotonic clock
   * @return whether the listener took the batch; if not, it is offered again later
   */
  boolean read(ReadResult.Batch batch, long askedAtMs);

  /**
   * Notes that the log cannot be read.
   *
   * @param reason why
   */
  void unavailable(String reason);

  /**
   * Returns the offset to read from next.
   *
   * @return the offset
   */
  long nextOffset();
}
