package io.kumquatspindle.control.state;

import io.kumquatspindle.api.platform.LogRecord;
import java.io.IOException;

/** A state machine whose state results from the records of one stream. Not thread-safe. */
public interface StreamStateMachine {

  /**
   * Returns the offset of the first record that has not been applied.
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
   * Encodes the whole state.
   *
   * @return JSON text in UTF-8
   */
  byte[] state();

  /**
   * Replaces the state with a newer one.
   *
   * @param offset offset of the first record that the new state does not include
   * @param state JSON text in UTF-8
   * @throws IOException if the text is not a valid state of this state machine
   */
  void restore(long offset, byte[] state) throws IOException;
}
