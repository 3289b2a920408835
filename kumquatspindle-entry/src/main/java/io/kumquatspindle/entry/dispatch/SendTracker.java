package io.kumquatspindle.entry.dispatch;

import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether a byte of a call may have been sent. */
final class SendTracker extends EventListener {
  private volatile boolean sent;

  boolean mayHaveSent() {
    return sent;
  }

  @Override
  public void requestHeadersStart(Call call) {
    sent = true;
  }
}
