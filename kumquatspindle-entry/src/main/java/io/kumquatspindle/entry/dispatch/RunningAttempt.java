package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.model.KeyHash;
import java.util.Optional;
import okhttp3.Call;

/** An attempt in progress, which others may end. */
final class RunningAttempt {
  private final Call call;
  private final Optional<KeyHash> key;
  private final boolean repeatable;
  private AbortReason abortReason;
  private boolean committed;
  private long readingSinceMs = Long.MAX_VALUE;

  RunningAttempt(Call call, Optional<KeyHash> key, boolean repeatable) {
    this.call = call;
    this.key = key;
    this.repeatable = repeatable;
  }

  Optional<KeyHash> key() {
    return key;
  }

  // A call that may not be repeated goes on, since ending it would not undo it.
  boolean isRepeatable() {
    return repeatable;
  }

  // Ends the attempt, unless it has been ended already. A deadline no longer counts after commit.
  synchronized void abort(AbortReason reason) {
    if (abortReason != null || (committed && reason == AbortReason.DEADLINE)) {
      return;
    }
    abortReason = reason;
    call.cancel();
  }

  synchronized Optional<AbortReason> abortReason() {
    return Optional.ofNullable(abortReason);
  }

  // From here on, bytes go to the caller and no other attempt is made.
  synchronized boolean commit() {
    committed = abortReason == null;
    return committed;
  }

  synchronized boolean isCommitted() {
    return committed;
  }

  synchronized void readStarted(long ms) {
    readingSinceMs = ms;
  }

  synchronized void readFinished() {
    readingSinceMs = Long.MAX_VALUE;
  }

  synchronized boolean isStalled(long nowMs, long limitMs) {
    return committed && readingSinceMs != Long.MAX_VALUE && nowMs - readingSinceMs > limitMs;
  }
}
