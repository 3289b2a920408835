package io.kumquatspindle.entry.dispatch;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.EventListener;

/** Records whether a byte of a call may have been sent, and whether sending it has failed. */
final class SendTracker extends EventListener {
  private volatile boolean sent;
  private volatile boolean failed;

  boolean mayHaveSent() {
    return sent;
  }

  boolean sendFailed() {
    return failed;
  }

  @Override
  public void requestFailed(Call call, IOException e) {
    failed = true;
  }

  @Override
  public void requestHeadersStart(Call call) {
    sent = true;
  }
}
