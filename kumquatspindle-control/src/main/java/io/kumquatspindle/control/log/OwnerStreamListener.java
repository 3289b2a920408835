package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamOwner;

/** Hands what a follower reads to the owner of the stream's fold. */
public final class OwnerStreamListener implements StreamListener {
  private final StreamOwner owner;

  /**
   * Creates a feed.
   *
   * @param owner the owner
   */
  public OwnerStreamListener(StreamOwner owner) {
    this.owner = owner;
  }

  @Override
  public boolean onBatch(ReadResult.Batch batch, long requestedAtMs) {
    return owner.offer(new StreamEvent.LogRead(batch, requestedAtMs));
  }

  @Override
  public void onUnavailable(String reason) {
    owner.offer(new StreamEvent.LogUnavailable(reason));
  }

  @Override
  public long nextOffset() {
    return owner.nextOffset();
  }
}
