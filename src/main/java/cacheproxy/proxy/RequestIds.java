package cacheproxy.proxy;

import cacheproxy.limits.RecentRequestIds;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids that clients have given to requests, by which a request that comes again is recognized. A
 * client may send a request again after its connection has ended, while the first one is still on
 * its way at a server. Confined to the event loop.
 */
final class RequestIds {
  /** Longer than a client goes on with a request, so that its id cannot come again after that. */
  private static final double RETENTION_MS = 10_000;

  private static final String IN_USE = "the id is another open request's";
  private static final String USED = "the id is an earlier request's";

  /** The ids of the requests without a final answer. */
  private final Set<String> open = new HashSet<>();

  /** The ids of requests that must not run twice, open or finished. */
  private RecentRequestIds recent =
      new RecentRequestIds(ByteBuffer.allocate(RecentRequestIds.TABLE_BYTES), RETENTION_MS);

  /**
   * Uses a table that another process of this proxy may use too. To be called before the first
   * request.
   */
  void share(ByteBuffer table) {
    recent = new RecentRequestIds(table, RETENTION_MS);
  }

  /** Returns why a request with this id can't be accepted; null if it can. */
  String validationError(double nowMs, String id) {
    if (open.contains(id)) {
      return IN_USE;
    }
    return recent.contains(nowMs, id) ? USED : null;
  }

  /** Whether this is an error of {@link #validationError}. */
  static boolean isError(String error) {
    return error.equals(IN_USE) || error.equals(USED);
  }

  /** Records a request that has been accepted. */
  void accepted(double nowMs, String id, boolean idempotent) {
    open.add(id);
    if (!idempotent) {
      recent.add(nowMs, id);
    }
  }

  /**
   * Records that a request has its final answer or that its client has left. If it may have run,
   * its id is kept from now on.
   */
  void finished(double nowMs, String id, boolean idempotent, boolean mayHaveRun) {
    open.remove(id);
    if (idempotent) {
      return;
    }
    if (mayHaveRun) {
      recent.add(nowMs, id);
    } else {
      recent.remove(id);
    }
  }

  /** The number of requests without a final answer. */
  int openCount() {
    return open.size();
  }
}
