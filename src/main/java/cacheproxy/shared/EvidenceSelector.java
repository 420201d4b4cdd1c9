package cacheproxy.shared;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Chooses the evidence for a pull response: the least often reported pieces, newest first, or the
 * next page for a proxy that reads all evidence. Counts how often each piece was reported; the
 * number of counts is bounded by a multiple of the number of pieces. Not thread-safe.
 */
final class EvidenceSelector {
  /**
   * The evidence for one response.
   *
   * @param nextCursor position of the next page; empty if this page is the last
   */
  record Page(List<VerdictEvidence> evidence, OptionalInt nextCursor) {
    static final Page EMPTY = new Page(List.of(), OptionalInt.empty());
  }

  private static final int MAX_COUNTS_PER_PIECE = 4;
  private static final int MIN_COUNT_CAPACITY = 64;

  /** How often each piece was reported, by its fingerprint. */
  private final Map<Integer, Integer> reportCounts = new HashMap<>();

  /**
   * Selects the evidence for one response.
   *
   * @param held all evidence of this proxy, in a stable order
   * @param cursor position of the requested page; empty to select the least often reported pieces
   * @param capacity the maximum number of pieces
   */
  Page select(List<VerdictEvidence> held, OptionalInt cursor, int capacity) {
    Page page =
        cursor.isEmpty()
            ? leastReported(held, capacity)
            : pageFrom(held, cursor.getAsInt(), capacity);
    if (reportCounts.size() > MAX_COUNTS_PER_PIECE * held.size() + MIN_COUNT_CAPACITY) {
      reportCounts.clear();
    }
    page.evidence.forEach(piece -> reportCounts.merge(piece.fingerprint(), 1, Integer::sum));
    return page;
  }

  private Page leastReported(List<VerdictEvidence> held, int capacity) {
    List<VerdictEvidence> sorted = new ArrayList<>(held);
    sorted.sort(
        Comparator.<VerdictEvidence>comparingInt(
                piece -> reportCounts.getOrDefault(piece.fingerprint(), 0))
            .thenComparing(Comparator.comparingDouble(VerdictEvidence::observedMs).reversed()));
    return new Page(
        sorted.subList(0, Math.min(capacity, sorted.size())),
        sorted.size() > capacity ? OptionalInt.of(0) : OptionalInt.empty());
  }

  private static Page pageFrom(List<VerdictEvidence> held, int cursor, int capacity) {
    if (cursor >= held.size()) {
      return Page.EMPTY;
    }
    int end = cursor + capacity;
    return new Page(
        held.subList(cursor, Math.min(held.size(), end)),
        end < held.size() ? OptionalInt.of(end) : OptionalInt.empty());
  }
}
