package io.kumquatspindle.transport.codec;

import java.io.IOException;

/** Bytes that are not one envelope of a known message. */
public final class CodecException extends IOException {
  private static final long serialVersionUID = 1L;

  CodecException(String message) {
    super(message);
  }

  CodecException(String message, Throwable cause) {
    super(message, cause);
  }
}
