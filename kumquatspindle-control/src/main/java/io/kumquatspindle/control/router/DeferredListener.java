package io.kumquatspindle.control.router;

import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.transport.link.Link;
import io.kumquatspindle.transport.link.LinkListener;

/**
 * A listener that forwards events to a target, which is set once all components have been created.
 * Discards events until then.
 */
public final class DeferredListener implements LinkListener {
  private volatile LinkListener target;

  /**
   * Sets the target.
   *
   * @param listener receives all subsequent events
   */
  public void setTarget(LinkListener listener) {
    target = listener;
  }

  @Override
  public void opened(Link link) {
    LinkListener t = target;
    if (t != null) {
      t.opened(link);
    }
  }

  @Override
  public void received(Link link, Envelope envelope) {
    LinkListener t = target;
    if (t != null) {
      t.received(link, envelope);
    }
  }

  @Override
  public void closed(Link link, String reason) {
    LinkListener t = target;
    if (t != null) {
      t.closed(link, reason);
    }
  }
}
