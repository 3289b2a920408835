package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.StreamName;
import java.io.IOException;
import java.util.Optional;

/**
 * A complete snapshot of the state computed from a stream.
 *
 * @param stream the stream
 * @param offset offset of the first record of that stream that the state does not include
 * @param id identifier that its chunks share
 * @param timeMs when the log appended its last chunk, in milliseconds since the epoch
 * @param json the state as JSON text in UTF-8
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record Snapshot(StreamName stream, long offset, String id, long timeMs, byte[] json) {

  /**
   * Decodes the state.
   *
   * @param type the type to decode
   * @return the state, or empty if the text is not of that type
   */
  public <T> Optional<T> decode(Class<T> type) {
    try {
      return Optional.ofNullable(Json.decode(json, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
