package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.ReadResult;

/** Receives what a {@link StreamFollower} reads; called on the follower's thread. */
public interface StreamListener {

  /**
   * Takes the result of a read.
   *
   * @param batch the records, possibly none
   * @param requestedAtMs when the read was sent, on the monotonic clock
   * @return whether the listener took the batch; if not, it is offered again later
   */
  boolean onBatch(ReadResult.Batch batch, long requestedAtMs);

  /**
   * Notes that the log cannot be read.
   *
   * @param reason why
   */
  void onUnavailable(String reason);

  /**
   * Returns the offset to read from next.
   *
   * @return the offset
   */
  long nextOffset();
}
