package io.kumquatspindle.entry.dispatch;

import java.io.IOException;

/** Thrown if the caller's connection is closed or accepts no data. */
final class CallerDisconnectedException extends IOException {
  private static final long serialVersionUID = 1L;

  CallerDisconnectedException(IOException cause) {
    super(cause);
  }
}
