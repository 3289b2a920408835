package io.kumquatspindle.entry.control;

/** Thrown if no control program is connected, or the connection closed before the response. */
public final class ControlUnreachableException extends Exception {
  private static final long serialVersionUID = 1L;

  ControlUnreachableException() {
    super("control is unreachable");
  }
}
