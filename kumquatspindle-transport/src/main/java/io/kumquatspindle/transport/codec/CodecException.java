package io.kumquatspindle.transport.codec;

import java.io.IOException;

/** Thrown when bytes do not decode to exactly one envelope with a known message type. */
public final class CodecException extends IOException {
  private static final long serialVersionUID = 1L;

  CodecException(String message) {
    super(message);
  }

  CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
