package io.kumquatspindle.entry.dispatch;

import java.io.IOException;

/** The caller's connection is closed or takes nothing. */
final class CallerGoneException extends IOException {
  private static final long serialVersionUID = 1L;

  CallerGoneException(IOException cause) {
    super(cause);
  }
}
