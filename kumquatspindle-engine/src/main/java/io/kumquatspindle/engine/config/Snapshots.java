package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.record.SnapshotChunk;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits the state computed from a stream into records of the {@code snapshots} stream. */
public final class Snapshots {
  /** Size limit of an encoded record, in bytes. */
  public static final int MAX_RECORD_BYTES = 256 * 1024;

  /** Size limit of a snapshot identifier, in characters. */
  public static final int MAX_ID_LENGTH = 128;

  /** Space reserved for the fields of a chunk other than its bytes. */
  private static final int HEADER_BYTES = 1024;

  /** Payload of a chunk, in bytes; base64 encodes 3 bytes as 4 characters. */
  private static final int CHUNK_BYTES = (MAX_RECORD_BYTES - HEADER_BYTES) / 4 * 3;

  private Snapshots() {}

  /**
   * Splits a state into chunks.
   *
   * @param stream the stream that the state is computed from
   * @param offset offset of the first record of that stream that the state does not include
   * @param id random identifier, different for each snapshot that is written; ASCII letters, digits
   *     and hyphens
   * @param state the state, for example a {@code Configuration}
   * @return the chunks in order, at least one, each at most {@link #MAX_RECORD_BYTES} when encoded
   * @throws IllegalArgumentException if the identifier is invalid or the state cannot be encoded
   */
  public static List<SnapshotChunk> split(StreamName stream, long offset, String id, Object state) {
    if (!id.matches("[A-Za-z0-9-]{1," + MAX_ID_LENGTH + "}")) {
      throw new IllegalArgumentException("invalid snapshot identifier: " + id);
    }
    byte[] json = Json.encode(state);
    int count = Math.max(1, (json.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
    List<SnapshotChunk> chunks = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int end = Math.min(json.length, (i + 1) * CHUNK_BYTES);
      byte[] part = Arrays.copyOfRange(json, i * CHUNK_BYTES, end);
      chunks.add(new SnapshotChunk(stream.path(), offset, id, i, count, part));
    }
    return chunks;
  }
}
