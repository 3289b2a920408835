package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.StreamName;
import java.io.IOException;
import java.util.Optional;

/**
 * A complete snapshot of a stream's fold.
 *
 * @param stream the stream whose fold it holds
 * @param offset next offset of that stream that the fold has not applied
 * @param id identifier that its chunks share
 * @param timeMs when the log took its last chunk, in milliseconds since the epoch
 * @param json the fold's JSON text in UTF-8
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
public record Snapshot(StreamName stream, long offset, String id, long timeMs, byte[] json) {

  /**
   * Decodes the fold.
   *
   * @param type type of the fold's JSON form
   * @return the fold's JSON form, or empty if the text is not of that type
   */
  public <T> Optional<T> decode(Class<T> type) {
    try {
      return Optional.ofNullable(Json.decode(json, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
