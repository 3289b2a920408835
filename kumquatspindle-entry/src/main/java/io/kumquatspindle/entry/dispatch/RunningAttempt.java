package io.kumquatspindle.entry.dispatch;

import io.kumquatspindle.api.model.KeyHash;
import java.util.Optional;
import okhttp3.Call;

/** An attempt in progress, which other threads may abort. */
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

  // A call that is not repeatable continues after its key was withdrawn or its caller disconnected,
  // since an abort would not undo its effects.
  boolean isRepeatable() {
    return repeatable;
  }

  // Has no effect if already aborted. The deadline applies only to the first byte, so it is ignored
  // after commit.
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

  // Marks that bytes will be sent to the caller, which rules out a further attempt. Returns false
  // if the attempt was aborted.
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
