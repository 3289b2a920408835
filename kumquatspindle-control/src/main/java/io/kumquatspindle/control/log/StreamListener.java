package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.ReadResult;

/** Receives what a {@link StreamFollower} reads. Called on the follower's thread. */
public interface StreamListener {

  /**
   * Handles the records of a successful read.
   *
   * @param batch the records, possibly none
   * @param requestedAtMs when the read request was sent, on the monotonic clock
   * @return whether the listener accepted the batch; if not, the follower retries it later
   */
  boolean onBatch(ReadResult.Batch batch, long requestedAtMs);

  /**
   * Handles a failed read.
   *
   * @param reason why the log could not be read
   */
  void onUnavailable(String reason);

  /**
   * Returns the offset that the next read starts from.
   *
   * @return the offset
   */
  long nextOffset();
}
