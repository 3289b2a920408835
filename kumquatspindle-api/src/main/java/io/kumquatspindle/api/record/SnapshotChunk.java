package io.kumquatspindle.api.record;

/**
 * A part of a state snapshot, stored in the {@code snapshots} stream.
 *
 * @param stream name of the stream from which the state was built
 * @param offset offset of the first record of that stream that the state does not include
 * @param snapshotId identifier shared by all chunks of a snapshot
 * @param index zero-based position of the chunk
 * @param count number of chunks in the snapshot
 * @param bytes the chunk's part of the JSON text of the state
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
public record SnapshotChunk(
    String stream, long offset, String snapshotId, int index, int count, byte[] bytes) {}
