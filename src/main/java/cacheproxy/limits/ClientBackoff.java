package cacheproxy.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Exponential backoff for clients that reconnect as soon as they are rejected, by address. An
 * address that is served at least as often as it is rejected is never delayed: behind a shared
 * front, many clients share one address with a few faulty ones. The table is bounded; an address
 * without events for {@link #EXPIRY_MS} starts anew. Used by the event loop's thread only.
 */
public final class ClientBackoff {
  static final int MAX_ADDRESSES = 1024;
  static final double WINDOW_MS = 4000;
  static final double EXPIRY_MS = 10_000;

  /** Rejections within the window that cause no delay, so that single errors have no effect. */
  static final int FREE_REJECTIONS = 3;

  /** A longer delay would keep an error response, due within 3 s of connecting, from being sent. */
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

  /** In the order of the last access, so that the first is the one to replace. */
  private final Map<Object, AddressHistory> histories =
      new LinkedHashMap<>(INITIAL_TABLE_SIZE, TABLE_LOAD_FACTOR, true);

  /** Records that a client at this address was rejected: for an error, a flood or silence. */
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

  /** Records that a client at this address was served. Allocates nothing. */
  public void recordServed(double nowMs, Object address) {
    AddressHistory history = histories.get(address);
    if (history != null) { // an address that was never rejected needs no history
      history.lastEventMs = nowMs;
      history.served.add(nowMs, 1);
    }
  }

  /** For how many milliseconds a new connection from this address is left unread; mostly 0. */
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

  /** The number of addresses in the table, at most {@link #MAX_ADDRESSES}. */
  public int addressCount() {
    return histories.size();
  }

  private void removeLeastRecentIfFull() {
    if (histories.size() >= MAX_ADDRESSES) {
      histories.remove(histories.keySet().iterator().next());
    }
  }
}
