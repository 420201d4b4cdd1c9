package cacheproxy.storage;

import java.nio.ByteBuffer;

/**
 * An intact record within a segment's content.
 *
 * @param number of the record, from 1
 * @param syncedUpTo the last record that was known to survive a power loss when this one was
 *     written
 * @param payloadOffset where its payload begins in the segment
 * @param payloadBytes how long its payload is
 */
record StoredRecord(long number, long syncedUpTo, int payloadOffset, int payloadBytes) {
  /** The offset of whatever follows this record. */
  int endOffset() {
    return payloadOffset + payloadBytes;
  }

  byte[] payload(ByteBuffer segment) {
    byte[] payload = new byte[payloadBytes];
    segment.get(payloadOffset, payload);
    return payload;
  }
}
