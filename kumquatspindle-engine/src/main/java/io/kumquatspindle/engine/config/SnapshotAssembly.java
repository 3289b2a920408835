package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.record.SnapshotChunk;
import java.io.ByteArrayOutputStream;

/** The chunks of a snapshot that have been received so far. */
final class SnapshotAssembly {
  private final long offset;
  private final byte[][] chunks;
  private int missing;

  SnapshotAssembly(SnapshotChunk first) {
    this.offset = first.offset();
    this.chunks = new byte[first.count()][];
    this.missing = first.count();
  }

  /** Adds a chunk; one that is repeated or inconsistent with the first is ignored. */
  void add(SnapshotChunk chunk) {
    boolean consistent = chunk.offset() == offset && chunk.count() == chunks.length;
    if (consistent && chunks[chunk.index()] == null) {
      chunks[chunk.index()] = chunk.bytes();
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
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (byte[] chunk : chunks) {
      out.writeBytes(chunk);
    }
    return out.toByteArray();
  }
}
