package cacheproxy.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Exponential backoff, by client address, for clients that reconnect immediately after a rejection.
 * Only the error of a rejected command may be delayed by it, never a connection or a request: many
 * healthy clients may share an address (NAT or a load balancer) with any number of faulty ones, and
 * a request's time budget runs from when its client has sent it. An address that is served at least
 * as often as it is rejected is not delayed at all. The number of tracked addresses is bounded, and
 * the history of an address expires {@link #EXPIRY_MS} after its last event. Not thread-safe: used
 * only on the event loop thread.
 */
public final class ClientBackoff {
  static final int MAX_ADDRESSES = 1024;
  static final double WINDOW_MS = 4000;
  static final double EXPIRY_MS = 10_000;

  /**
   * Rejections within {@link #WINDOW_MS} that cause no delay, so that a few errors have no effect.
   */
  static final int FREE_REJECTIONS = 3;

  /**
   * Clients have to receive an error response within 3 s of connecting. A longer delay, on top of
   * that of every error, would miss that deadline.
   */
  static final double MAX_DELAY_MS = 800;

  private static final double INITIAL_DELAY_MS = 50;
  private static final int MAX_DOUBLINGS = 10;

  private static final int INITIAL_TABLE_SIZE = 64;
  private static final float TABLE_LOAD_FACTOR = 0.75f;

  private static final class AddressHistory {
    final SlidingWindow rejections = new SlidingWindow(WINDOW_MS);
    final SlidingWindow served = new SlidingWindow(WINDOW_MS);
    double lastEventMs;
  }

  /**
   * Ordered by last access, so the first entry is the least recently used one and is removed first.
   */
  private final Map<Object, AddressHistory> histories =
      new LinkedHashMap<>(INITIAL_TABLE_SIZE, TABLE_LOAD_FACTOR, true);

  /**
   * Records that a client at this address was rejected because it sent an invalid request, sent too
   * many requests, or sent nothing.
   */
  public void recordRejected(double nowMs, Object address) {
    AddressHistory history = histories.get(address);
    if (history == null) {
      removeLeastRecentIfFull();
      history = new AddressHistory();
      histories.put(address, history);
    }
    history.lastEventMs = nowMs;
    history.rejections.add(nowMs, 1);
  }

  /** Records that a request of a client at this address was served. Does not allocate memory. */
  public void recordServed(double nowMs, Object address) {
    AddressHistory history = histories.get(address);
    if (history != null) { // addresses without a rejection are not tracked
      history.lastEventMs = nowMs;
      history.served.add(nowMs, 1);
    }
  }

  /**
   * Returns by how many milliseconds the error of a rejected command from this address is delayed.
   * It is 0 unless the address was rejected repeatedly.
   */
  public double delayMs(double nowMs, Object address) {
    AddressHistory history = histories.get(address);
    if (history == null || nowMs - history.lastEventMs > EXPIRY_MS) {
      histories.remove(address);
      return 0;
    }
    double rejections = history.rejections.sum(nowMs);
    if (rejections <= FREE_REJECTIONS || rejections <= history.served.sum(nowMs)) {
      return 0;
    }
    double doublings = Math.min(MAX_DOUBLINGS, rejections - FREE_REJECTIONS - 1);
    return Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * Math.pow(2, doublings));
  }

  /** Returns the number of tracked addresses, at most {@link #MAX_ADDRESSES}. */
  public int addressCount() {
    return histories.size();
  }

  private void removeLeastRecentIfFull() {
    if (histories.size() >= MAX_ADDRESSES) {
      histories.remove(histories.keySet().iterator().next());
    }
  }
}
