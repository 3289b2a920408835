package io.kumquatspindle.api.record;

/**
 * A part of a snapshot, kept in a stream of its own.
 *
 * @param stream name of the stream whose fold the snapshot holds
 * @param offset next offset of that stream that the fold has not applied
 * @param snapshotId identifier that the chunks of one snapshot share
 * @param index position of the chunk, from 0
 * @param count number of chunks of the snapshot
 * @param bytes the chunk's part of the fold's JSON text
 */
@SuppressWarnings("ArrayRecordComponent") // instances are never compared
public record SnapshotChunk(
    String stream, long offset, String snapshotId, int index, int count, byte[] bytes) {}
