package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.LogRecord;
import java.io.IOException;

/** The fold of one stream. Not safe for use by several threads. */
public interface StreamStateMachine {

  /**
   * Returns the next offset that has not been applied.
   *
   * @return the offset
   */
  long nextOffset();

  /**
   * Applies the record at the next offset.
   *
   * @param r the record
   */
  void apply(LogRecord r);

  /**
   * Encodes the whole fold.
   *
   * @return JSON text in UTF-8
   */
  byte[] state();

  /**
   * Replaces the fold by one that is further on.
   *
   * @param offset next offset that the state has not applied
   * @param state JSON text in UTF-8
   * @throws IOException if the text is not a state of this fold
   */
  void restore(long offset, byte[] state) throws IOException;
}
