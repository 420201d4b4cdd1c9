package cacheproxy.shared;

import cacheproxy.shared.SharedMessage.CounterReport;
import cacheproxy.shared.SharedMessage.PullRequest;
import cacheproxy.shared.SharedMessage.PullResponse;
import cacheproxy.shared.SharedMessage.PushNotification;
import cacheproxy.shared.SharedMessage.QuotaGrant;
import cacheproxy.shared.SharedMessage.QuotaRequest;
import cacheproxy.shared.SharedMessage.VerdictReport;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Encodes and decodes a {@link SharedMessage} as one datagram of at most {@link #MAX_BYTES} bytes
 * with big-endian fields of fixed length. A push notification is only a header of 16 bytes: marker,
 * protocol, version, message type, incarnation, nonce, digest and cursor. In the other messages,
 * the header is followed by three counts of one byte each and by that many verdicts, quota messages
 * and counters. Stateless.
 */
final class SharedMessageCodec {
  static final int MAX_BYTES = 256;
  static final int MAX_QUOTA_REQUESTS = 4;

  private static final byte MARKER = (byte) 0xC1;
  private static final byte PROTOCOL = 's';
  private static final byte VERSION = 1;
  private static final byte PUSH_NOTIFICATION = 0;
  private static final byte PULL_REQUEST = 1;
  private static final byte PULL_RESPONSE = 2;

  private static final int PREFIX_BYTES = 4;
  private static final int HEADER_BYTES = 16;
  private static final int COUNTS_BYTES = 3;
  private static final int VERDICT_BYTES = 13;
  private static final int QUOTA_BYTES = 16;
  private static final int COUNTER_BYTES = 15;

  /** Encodes an absent cursor. */
  private static final int NO_CURSOR = 0xFFFF;

  /** Ages are encoded as multiples of this time, rounded up. */
  private static final double AGE_STEP_MS = 10;

  private static final int MAX_AGE_STEPS = 0xFFFF;

  /** Set in the units field of a grant, and clear in that of a request. */
  private static final int GRANT_BIT = 1 << 31;

  /** Position of a verdict's kind in the byte whose lower bits hold the observer's zone. */
  private static final int KIND_SHIFT = 6;

  private static final int ZONE_MASK = 0x3F;

  private SharedMessageCodec() {}

  /** The number of verdicts that fit into a message with these quota messages and counters. */
  static int verdictCapacity(int quotaMessages, int counters) {
    return (bodyBytes() - quotaMessages * QUOTA_BYTES - counters * COUNTER_BYTES) / VERDICT_BYTES;
  }

  /** The number of counters that fit into a message with these verdicts and quota messages. */
  static int counterCapacity(int verdicts, int quotaMessages) {
    return (bodyBytes() - quotaMessages * QUOTA_BYTES - verdicts * VERDICT_BYTES) / COUNTER_BYTES;
  }

  private static int bodyBytes() {
    return MAX_BYTES - HEADER_BYTES - COUNTS_BYTES;
  }

  static byte[] encode(SharedMessage message) {
    if (message instanceof PushNotification push) {
      return header(HEADER_BYTES, PUSH_NOTIFICATION, push, 0, OptionalInt.empty()).array();
    }
    if (message instanceof PullRequest request) {
      return encode(request);
    }
    return encode((PullResponse) message);
  }

  private static byte[] encode(PullRequest request) {
    int bytes = HEADER_BYTES + COUNTS_BYTES + QUOTA_BYTES * request.quotaRequests().size();
    ByteBuffer buffer = header(bytes, PULL_REQUEST, request, request.nonce(), request.cursor());
    buffer.put((byte) 0).put((byte) request.quotaRequests().size()).put((byte) 0);
    for (QuotaRequest quota : request.quotaRequests()) {
      putQuota(buffer, quota.node(), quota.request(), 0);
    }
    return buffer.array();
  }

  private static byte[] encode(PullResponse response) {
    int bytes =
        HEADER_BYTES
            + COUNTS_BYTES
            + VERDICT_BYTES * response.verdicts().size()
            + QUOTA_BYTES * response.quotaGrants().size()
            + COUNTER_BYTES * response.counters().size();
    ByteBuffer buffer =
        header(bytes, PULL_RESPONSE, response, response.nonce(), response.nextCursor());
    buffer
        .put((byte) response.verdicts().size())
        .put((byte) response.quotaGrants().size())
        .put((byte) response.counters().size());
    response.verdicts().forEach(verdict -> putVerdict(buffer, verdict));
    for (QuotaGrant quota : response.quotaGrants()) {
      putQuota(buffer, quota.node(), quota.grant(), GRANT_BIT);
    }
    response.counters().forEach(counter -> putCounter(buffer, counter));
    return buffer.array();
  }

  private static ByteBuffer header(
      int bytes, byte type, SharedMessage message, int nonce, OptionalInt cursor) {
    return ByteBuffer.allocate(bytes)
        .put(MARKER)
        .put(PROTOCOL)
        .put(VERSION)
        .put(type)
        .putShort((short) message.incarnation())
        .putInt(nonce)
        .putInt(message.digest())
        .putShort((short) cursor.orElse(NO_CURSOR));
  }

  private static void putVerdict(ByteBuffer buffer, VerdictReport verdict) {
    buffer
        .putInt(verdict.node())
        .put((byte) (verdict.kind().wireCode() << KIND_SHIFT | verdict.zone()))
        .putShort((short) verdict.observer())
        .putShort((short) verdict.sequence())
        .putShort(ageSteps(verdict.ageMs()))
        .putShort(ageSteps(verdict.remainingMs()));
  }

  private static void putQuota(ByteBuffer buffer, int node, LeaseMessage lease, int grantBit) {
    buffer
        .putInt(node)
        .putInt(grantBit | lease.units())
        .putInt(lease.nonce())
        .putInt(lease.renewedNonce());
  }

  private static void putCounter(ByteBuffer buffer, CounterReport counter) {
    buffer
        .put((byte) counter.kind())
        .putShort((short) counter.total().proxy())
        .putShort((short) counter.total().incarnation())
        .putShort(ageSteps(counter.ageMs()))
        .putLong(counter.total().count());
  }

  private static short ageSteps(double ms) {
    return (short) Math.max(0, Math.min(MAX_AGE_STEPS, Math.ceil(ms / AGE_STEP_MS)));
  }

  /**
   * Decodes a datagram. Returns empty if it is no shared state message, is truncated, has another
   * version or holds invalid values.
   */
  static Optional<SharedMessage> decode(byte[] bytes) {
    if (bytes.length < HEADER_BYTES
        || bytes.length > MAX_BYTES
        || bytes[0] != MARKER
        || bytes[1] != PROTOCOL
        || bytes[2] != VERSION) {
      return Optional.empty();
    }
    byte type = bytes[3];
    ByteBuffer buffer = ByteBuffer.wrap(bytes, PREFIX_BYTES, bytes.length - PREFIX_BYTES);
    int incarnation = unsignedShort(buffer);
    int nonce = buffer.getInt();
    int digest = buffer.getInt();
    int cursorField = unsignedShort(buffer);
    OptionalInt cursor =
        cursorField == NO_CURSOR ? OptionalInt.empty() : OptionalInt.of(cursorField);
    if (type == PUSH_NOTIFICATION) {
      return buffer.hasRemaining()
          ? Optional.empty()
          : Optional.of(new PushNotification(incarnation, digest));
    }
    if (type != PULL_REQUEST && type != PULL_RESPONSE) {
      return Optional.empty();
    }
    return Body.decode(buffer)
        .map(
            body ->
                type == PULL_REQUEST
                    ? new PullRequest(incarnation, nonce, digest, cursor, body.requests)
                    : new PullResponse(
                        incarnation,
                        nonce,
                        digest,
                        cursor,
                        body.verdicts,
                        body.grants,
                        body.counters));
  }

  private static int unsignedShort(ByteBuffer buffer) {
    return buffer.getShort() & 0xFFFF;
  }

  /**
   * The part of the format that requests and responses have in common. The format allows grants and
   * requests in both; fields that a message type does not use are validated and then ignored, as in
   * the previous release.
   */
  private record Body(
      List<VerdictReport> verdicts,
      List<QuotaRequest> requests,
      List<QuotaGrant> grants,
      List<CounterReport> counters) {
    static Optional<Body> decode(ByteBuffer buffer) {
      if (buffer.remaining() < COUNTS_BYTES) {
        return Optional.empty();
      }
      int verdictCount = buffer.get() & 0xFF;
      int quotaCount = buffer.get() & 0xFF;
      int counterCount = buffer.get() & 0xFF;
      int expectedBytes =
          verdictCount * VERDICT_BYTES + quotaCount * QUOTA_BYTES + counterCount * COUNTER_BYTES;
      if (buffer.remaining() != expectedBytes) {
        return Optional.empty();
      }
      Body body =
          new Body(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
      boolean valid = true;
      for (int i = 0; i < verdictCount; i++) {
        valid &= body.readVerdict(buffer);
      }
      for (int i = 0; i < quotaCount; i++) {
        body.readQuota(buffer);
      }
      for (int i = 0; i < counterCount; i++) {
        valid &= body.readCounter(buffer);
      }
      return valid ? Optional.of(body) : Optional.empty();
    }

    private boolean readVerdict(ByteBuffer buffer) {
      int node = buffer.getInt();
      int kindAndZone = buffer.get() & 0xFF;
      int observer = unsignedShort(buffer);
      int sequence = unsignedShort(buffer);
      double ageMs = unsignedShort(buffer) * AGE_STEP_MS;
      double remainingMs = unsignedShort(buffer) * AGE_STEP_MS;
      Optional<VerdictEvidence.Kind> kind =
          VerdictEvidence.Kind.ofWireCode(kindAndZone >> KIND_SHIFT);
      kind.ifPresent(
          known ->
              verdicts.add(
                  new VerdictReport(
                      node,
                      known,
                      observer,
                      kindAndZone & ZONE_MASK,
                      sequence,
                      ageMs,
                      remainingMs)));
      return kind.isPresent();
    }

    private void readQuota(ByteBuffer buffer) {
      int node = buffer.getInt();
      int grantAndUnits = buffer.getInt();
      int nonce = buffer.getInt();
      int renewedNonce = buffer.getInt();
      int units = grantAndUnits & ~GRANT_BIT;
      if ((grantAndUnits & GRANT_BIT) != 0) {
        grants.add(new QuotaGrant(node, new LeaseMessage.Grant(nonce, units, renewedNonce)));
      } else {
        requests.add(new QuotaRequest(node, new LeaseMessage.Request(nonce, units, renewedNonce)));
      }
    }

    private boolean readCounter(ByteBuffer buffer) {
      int kind = buffer.get();
      int proxy = unsignedShort(buffer);
      int incarnation = unsignedShort(buffer);
      double ageMs = unsignedShort(buffer) * AGE_STEP_MS;
      long count = buffer.getLong();
      counters.add(
          new CounterReport(kind, new TierCounters.Total(proxy, incarnation, count), ageMs));
      return count >= 0 && incarnation != 0;
    }
  }
}
