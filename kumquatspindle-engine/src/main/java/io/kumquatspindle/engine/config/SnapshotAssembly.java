package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.record.SnapshotChunk;
import java.io.ByteArrayOutputStream;

/** The chunks of one snapshot that have been read so far. */
final class SnapshotAssembly {
  private final long offset;
  private final byte[][] parts;
  private int missing;

  SnapshotAssembly(SnapshotChunk first) {
    this.offset = first.offset();
    this.parts = new byte[first.count()][];
    this.missing = first.count();
  }

  /** Takes a chunk; one that contradicts the first, or is repeated, changes nothing. */
  void add(SnapshotChunk chunk) {
    boolean fits = chunk.offset() == offset && chunk.count() == parts.length;
    if (fits && parts[chunk.index()] == null) {
      parts[chunk.index()] = chunk.bytes();
      missing--;
    }
  }

  boolean isComplete() {
    return missing == 0;
  }

  long offset() {
    return offset;
  }

  byte[] json() {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }
}
