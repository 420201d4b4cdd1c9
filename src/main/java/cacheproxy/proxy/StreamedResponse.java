package cacheproxy.proxy;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.ByteAccounts;
import cacheproxy.limits.StreamingWindow;
import cacheproxy.proxy.Exchange.Attempt;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;

/**
 * A long value that is forwarded from a server to a client part by part, never completely in
 * memory. Once the client has been sent its first bytes, the request cannot get another answer:
 * either the value ends complete, or the client's connection is closed before the end of the value,
 * which tells the client that it is truncated.
 */
final class StreamedResponse {
  final Attempt attempt;
  final double beganMs;
  private final ByteAccounts accounts;
  private final UpstreamConnection source;

  /** Parts that wait for the answers to earlier commands of the client. */
  private final ArrayDeque<ByteBuf> parts = new ArrayDeque<>(2);

  /**
   * Bytes received that have not been written to the client's connection, including the queued
   * parts.
   */
  private long pendingBytes;

  private boolean begun;
  private boolean complete;
  private boolean ended;

  StreamedResponse(Attempt attempt, UpstreamConnection from, ByteAccounts accounts, double now) {
    this.attempt = attempt;
    this.source = from;
    this.accounts = accounts;
    beganMs = now;
  }

  /** Queues a part; takes ownership of the buffer. */
  void add(ByteBuf part) {
    parts.add(part);
    pendingBytes += part.readableBytes();
  }

  /** The next part to write; null if there is none. */
  ByteBuf next() {
    ByteBuf part = parts.poll();
    begun |= part != null;
    return part;
  }

  /** Whether any part has been handed out for writing. */
  boolean begun() {
    return begun;
  }

  /** Records that the value has been received completely. */
  void complete() {
    complete = true;
    ended = true;
  }

  /** Whether the value is complete and all its parts have been handed out for writing. */
  boolean done() {
    return complete && parts.isEmpty();
  }

  /** Records that this many bytes have been written to the client's connection. */
  void written(int bytes) {
    pendingBytes -= bytes;
    updateAutoRead();
  }

  /**
   * Pauses or resumes reading from the server, depending on the bytes that are waiting for clients.
   */
  void updateAutoRead() {
    if (!ended) {
      source.setReading(
          StreamingWindow.shouldRead(
              pendingBytes,
              source.depth() - 1,
              accounts.reservedBytes(BufferPurpose.STREAMING),
              accounts.maxBytes(BufferPurpose.STREAMING)));
    }
  }

  /** Discards the queued parts and returns their size in bytes. */
  int discard() {
    ended = true;
    int bytes = 0;
    for (ByteBuf part; (part = parts.poll()) != null; ) {
      bytes += part.readableBytes();
      part.release();
    }
    pendingBytes -= bytes;
    return bytes;
  }
}
