package io.kumquatspindle.entry.dispatch;

import java.io.IOException;

/** The caller's connection is closed or takes nothing. */
final class CallerDisconnectedException extends IOException {
  private static final long serialVersionUID = 1L;

  CallerDisconnectedException(IOException cause) {
    super(cause);
  }
}
