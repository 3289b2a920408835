package io.kumquatspindle.entry.control;

/** No control program can be reached, or the connection ended before the answer. */
public final class ControlUnreachableException extends Exception {
  private static final long serialVersionUID = 1L;

  ControlUnreachableException() {
    super("control is unreachable");
  }
}
