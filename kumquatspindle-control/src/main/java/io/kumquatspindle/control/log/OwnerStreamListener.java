package io.kumquatspindle.control.log;

import io.kumquatspindle.api.platform.ReadResult;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamOwner;

/** Forwards what a {@link StreamFollower} reads to the owner of the stream's state. */
public final class OwnerStreamListener implements StreamListener {
  private final StreamOwner owner;

  /**
   * Creates a listener.
   *
   * @param owner the owner of the stream's state
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
