package cacheproxy.storage;

import java.nio.ByteBuffer;

/**
 * The position and header fields of an intact record in a segment.
 *
 * @param number the record number, starting at 1
 * @param syncedUpTo the number of the last record that had been synced when this record was written
 * @param payloadOffset the offset of the payload in the segment
 * @param payloadBytes the size of the payload in bytes
 */
record StoredRecord(long number, long syncedUpTo, int payloadOffset, int payloadBytes) {
  /** Returns the offset of the first byte after this record. */
  int endOffset() {
    return payloadOffset + payloadBytes;
  }

  byte[] payload(ByteBuffer segment) {
    byte[] payload = new byte[payloadBytes];
    segment.get(payloadOffset, payload);
    return payload;
  }
}
