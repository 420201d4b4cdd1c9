package cacheproxy.shared;

import cacheproxy.shared.VerdictEvidence.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What this proxy holds of cache nodes by its own attempts and by what others have told of theirs.
 * Others' word only ever keeps it from a node for a while.
 *
 * <ul>
 *   <li>Own experience goes first: what is older than the last answer of the node to this proxy is
 *       not heard.
 *   <li>A node is out by hearsay when two witnesses say so, this one perhaps among them, and not
 *       both from one other zone: a zone that is cut off sees all others gone, and is right, for
 *       itself.
 *   <li>Others' word, of whatever kind, keeps it from {@link #MOST_OUT} of the nodes at most, and
 *       never from the last of a zone.
 *   <li>A node that is out is tried by who has a request for it and whose lot has come up since the
 *       last evidence: lots lie over a time that grows with the tier, so that somebody tries soon
 *       and few do at once, whoever lives.
 *   <li>One answer, whoever got it, ends all that is older.
 *   <li>Who is found wrong by this one's own attempts, time and again, is not heard until that has
 *       faded.
 *   <li>That a node has no place is one's word enough, for three proxies of four and not for one
 *       that it has served lately.
 * </ul>
 *
 * <p>A lie or a mistake that all make is over {@link #LASTS_MS} after it was last told. Bounded: a
 * few pieces of evidence for each listed node. Times in milliseconds of one clock.
 */
public final class HealthVerdicts {
  /** Parts that can be left out to see what each is for; all are on in use. */
  public enum Part {
    OWN_FIRST,
    TWO_WITNESSES,
    SIDES,
    LIMIT,
    LOTS,
    ANSWER_ENDS,
    CREDIT
  }

  /** Is told of each change of what is held by others' word. */
  public interface Listener {
    /**
     * @param out it is out from now on; false: it no longer is, or another has had its answer since
     * @param byOther it is another's word that says so now; false: this one's own attempt, or time
     */
    void changed(double now, int node, boolean out, boolean byOther, String cause);
  }

  /**
   * What is out of reach is so for this long, and as long again with each new attempt that shows
   * it.
   */
  static final double LASTS_MS = 12_000;

  /** What a witness passes over for less is no matter for others. */
  static final double LEAST_MS = 1000;

  /** No place is told of for so long at most. */
  static final double FULL_MS = 4000;

  /** One that answered this proxy so lately has a place for it. */
  static final double PLACE_MS = 5000;

  /** Part of the listed nodes that others' word may keep from this one. */
  static final double MOST_OUT = 0.4;

  /** After the last evidence nobody tries for so long. */
  static final double REST_MS = 1500;

  /**
   * A proxy that has not tried one for so long tries it, whatever is said: a lie that is told
   * without end ends there.
   */
  private static final double OWN_TRY_MS = 10_000;

  /** And so much more for each proxy that lives, so that a long outage is not tried by all. */
  private static final double OWN_TRY_EACH_MS = 200;

  /** Then lots come up over so long, for each proxy that lives, within bounds. */
  private static final double LOT_MS = 60;

  private static final double LEAST_LOTS_MS = 500;
  private static final double MOST_LOTS_MS = 6000;

  /** A trial whose end nobody has told is over by then. */
  private static final double TRIAL_MS = 1500;

  /** Witnesses of a node that are kept for each kind. */
  static final int WITNESSES = 4;

  /** Found wrong so often, with no more than so long for each to be forgotten: not heard. */
  private static final double MOST_WRONG = 3;

  private static final double WRONG_FADES_MS = 60_000;

  /** One proxy in so many looks for a place all the same. */
  private static final int LOOKS_ONE_IN = 4;

  private static final class Node {
    final int id;
    int zone;
    final List<VerdictEvidence> evidence = new ArrayList<>(2);
    double answeredMs = Double.NEGATIVE_INFINITY;

    /** A trial of this one's is under way since; negative infinity: none is. */
    double trialMs = Double.NEGATIVE_INFINITY;

    /** When it came to be out, or this one last tried it. */
    double triedMs = Double.NEGATIVE_INFINITY;

    boolean out;
    double reviewMs = Double.POSITIVE_INFINITY;

    Node(int id) {
      this.id = id;
    }
  }

  private final int me;
  private final int zone;
  private final Listener listener;
  private final Set<Part> without;
  private final Map<Integer, Node> nodes = new HashMap<>();
  private final double[] wrong;
  private final double[] wrongMs;
  private int serial;
  private int outs;
  private int alive = 1;
  private int digest;
  private long learned;
  private long dropped;

  /**
   * @param tier how many proxies there are
   * @param me this one's number
   * @param zone its zone
   * @param serial where its evidence is counted from: drawn at the start, so that a former life's
   *     is not taken for this one's
   */
  public HealthVerdicts(
      int tier, int me, int zone, int serial, Listener listener, Part... without) {
    this.me = me;
    this.zone = zone;
    this.serial = serial;
    this.listener = listener;
    this.without =
        without.length == 0 ? EnumSet.noneOf(Part.class) : EnumSet.copyOf(Arrays.asList(without));
    wrong = new double[tier];
    wrongMs = new double[tier];
  }

  private boolean on(Part part) {
    return !without.contains(part);
  }

  /** Whether there is such a node. */
  public boolean lists(int id) {
    return nodes.containsKey(id);
  }

  /** How many proxies are there, this one among them, by the view of the tier. */
  public void alive(int count) {
    alive = Math.max(1, count);
  }

  /** The nodes there are; nothing is held of others. */
  public void listed(int[] servers, int[] zones) {
    Map<Integer, Node> before = new HashMap<>(nodes);
    nodes.clear();
    for (int i = 0; i < servers.length; i++) {
      Node n = before.remove(servers[i]);
      n = n == null ? new Node(servers[i]) : n;
      n.zone = zones[i];
      nodes.put(n.id, n);
    }
    for (Node gone : before.values()) {
      outs -= gone.out ? 1 : 0;
      gone.evidence.forEach(e -> digest ^= e.mark());
    }
  }

  // ---- own experience

  /**
   * An own attempt, begun then, has shown it out of reach. The evidence to tell; null: none is
   * worth it.
   */
  public VerdictEvidence failed(double now, int id, double sinceMs, double forMs) {
    Node n = nodes.get(id);
    if (n == null || forMs < LEAST_MS || sinceMs < n.answeredMs) {
      return null;
    }
    for (VerdictEvidence e : n.evidence) {
      if (e.kind() == Kind.BACK
          && e.witness() != me
          && sinceMs - e.atMs() > 0
          && sinceMs - e.atMs() < REST_MS) {
        wronged(now, e.witness());
      }
    }
    n.trialMs = Double.NEGATIVE_INFINITY;
    n.triedMs = now;
    return tell(now, n, Kind.OUT, sinceMs, now + Math.max(forMs, LASTS_MS));
  }

  /** It had no place for a connection of this proxy's. */
  public VerdictEvidence noPlace(double now, int id, double forMs) {
    Node n = nodes.get(id);
    return n == null ? null : tell(now, n, Kind.FULL, now, now + Math.min(forMs, FULL_MS));
  }

  /**
   * It has answered this proxy's attempt, begun then. The evidence to tell, where somebody holds it
   * out of reach; null: nobody does.
   */
  public VerdictEvidence answered(double now, int id, double sentMs) {
    Node n = nodes.get(id);
    if (n == null) {
      return null;
    }
    n.answeredMs = now;
    n.trialMs = Double.NEGATIVE_INFINITY;
    if (n.evidence.isEmpty()) {
      return null;
    }
    boolean held = false;
    for (VerdictEvidence e : n.evidence) {
      if (e.kind() == Kind.OUT && now < e.untilMs()) {
        held = true;
        if (e.witness() != me && e.atMs() > sentMs) {
          wronged(now, e.witness()); // out of reach while this one's request was there and back
        }
      }
    }
    return held ? tell(now, n, Kind.BACK, now, now + LASTS_MS) : null;
  }

  private VerdictEvidence tell(double now, Node n, Kind kind, double at, double until) {
    serial = serial + 1 & 0xFFFF;
    VerdictEvidence own = new VerdictEvidence(n.id, kind, me, zone, serial, at, until);
    put(now, n, own);
    return own;
  }

  // ---- hearsay

  /**
   * Another's word, first-hand or passed on, dated by this one's clock. True: it was news, to be
   * passed on in turn.
   */
  public boolean heard(double now, VerdictEvidence e) {
    Node n = nodes.get(e.node());
    if (n == null
        || e.witness() < 0
        || e.witness() >= wrong.length
        || e.witness() == me
        || now >= e.untilMs()
        || e.atMs() > now
        || e.untilMs() - e.atMs() > 4 * LASTS_MS
        || wrong(now, e.witness()) >= MOST_WRONG) {
      dropped += n != null && e.witness() != me ? 1 : 0;
      return false;
    }
    for (VerdictEvidence old : n.evidence) {
      if (old.sameMatter(e) && (old.serial() == e.serial() || old.atMs() >= e.atMs())) {
        return false;
      }
      if (old.kind() == Kind.BACK
          && e.kind() == Kind.OUT
          && old.atMs() >= e.atMs()
          && on(Part.ANSWER_ENDS)) {
        return false;
      }
    }
    if (e.kind() == Kind.FULL && !mayGo(now, n) || !put(now, n, e)) {
      return false;
    }
    learned++;
    return true;
  }

  /** Takes its place among what is held; false: there are enough that say the same. */
  private boolean put(double now, Node n, VerdictEvidence e) {
    n.evidence.removeIf(
        old -> {
          boolean over =
              now >= old.untilMs()
                  || old.sameMatter(e)
                  || on(Part.ANSWER_ENDS)
                      && (e.kind() == Kind.BACK && old.kind() == Kind.OUT && old.atMs() <= e.atMs()
                          || e.kind() == Kind.OUT
                              && old.kind() == Kind.BACK
                              && old.atMs() < e.atMs());
          if (over) {
            digest ^= old.mark();
          }
          return over;
        });
    if (n.evidence.stream().filter(o -> o.kind() == e.kind()).count()
        >= (e.kind() == Kind.OUT ? WITNESSES : 1)) {
      // The oldest of others makes room, so that a trial's failure is known; not for what is older
      // still.
      VerdictEvidence oldest =
          n.evidence.stream()
              .filter(o -> o.kind() == e.kind() && o.witness() != me)
              .min(Comparator.comparingDouble(VerdictEvidence::atMs))
              .orElse(null);
      if (oldest == null || oldest.atMs() >= e.atMs() && e.witness() != me) {
        return false;
      }
      n.evidence.remove(oldest);
      digest ^= oldest.mark();
    }
    n.evidence.add(e);
    digest ^= e.mark();
    review(now, n, e);
    return true;
  }

  private double wrong(double now, int witness) {
    if (!on(Part.CREDIT)) {
      return 0;
    }
    wrong[witness] *= Math.pow(0.5, (now - wrongMs[witness]) / WRONG_FADES_MS);
    wrongMs[witness] = now;
    return wrong[witness];
  }

  private void wronged(double now, int witness) {
    wrong(now, witness);
    wrong[witness]++;
  }

  /** Whether this one does not listen to that proxy for now. */
  public boolean unheard(double now, int witness) {
    return wrong(now, witness) >= MOST_WRONG;
  }

  // ---- judging

  /** Whether the witnesses of a node make it out of reach for this one. */
  private boolean outByHearsay(double now, Node n) {
    int witnesses = 0;
    boolean side = false;
    int firstZone = -1;
    for (VerdictEvidence e : n.evidence) {
      boolean counts =
          e.kind() == Kind.OUT
              && now < e.untilMs()
              && (e.atMs() > n.answeredMs || !on(Part.OWN_FIRST))
              && (e.witness() == me || wrong(now, e.witness()) < MOST_WRONG);
      if (counts) {
        witnesses++;
        side |= e.zone() == zone || firstZone >= 0 && e.zone() != firstZone;
        firstZone = e.zone();
      }
    }
    return witnesses >= (on(Part.TWO_WITNESSES) ? 2 : 1) && (side || !on(Part.SIDES));
  }

  private boolean mayGo(double now, Node n) {
    if (!on(Part.LIMIT)) {
      return true;
    }
    int kept = 1;
    boolean another = false;
    for (Node other : nodes.values()) {
      boolean from = other.out || other.evidence.stream().anyMatch(e -> saysFull(now, e));
      kept += other != n && from ? 1 : 0;
      another |= other != n && other.zone == n.zone && !from;
    }
    return another && kept <= MOST_OUT * nodes.size();
  }

  private boolean saysFull(double now, VerdictEvidence e) {
    return e.kind() == Kind.FULL && e.witness() != me && now < e.untilMs();
  }

  /**
   * @param by what has just come; null: only time has passed
   */
  private void review(double now, Node n, VerdictEvidence by) {
    double next = Double.POSITIVE_INFINITY;
    for (VerdictEvidence e : n.evidence) {
      next = Math.min(next, e.untilMs());
    }
    n.reviewMs = next;
    boolean is = outByHearsay(now, n);
    if (is == n.out || is && !mayGo(now, n)) {
      if (!is && by != null && by.kind() == Kind.BACK && by.witness() != me) {
        listener.changed(now, n.id, false, true, "answered proxy " + by.witness());
      }
      return;
    }
    n.out = is;
    outs += is ? 1 : -1;
    if (is) {
      n.triedMs = now;
      StringBuilder who = new StringBuilder("out of reach for");
      n.evidence.stream()
          .filter(e -> e.kind() == Kind.OUT)
          .forEach(e -> who.append(' ').append(e.witness()));
      listener.changed(now, n.id, true, by != null && by.witness() != me, who.toString());
    } else {
      boolean byOther = by != null && by.kind() == Kind.BACK && by.witness() != me;
      listener.changed(
          now,
          n.id,
          false,
          byOther,
          byOther
              ? "answered proxy " + by.witness()
              : n.answeredMs >= now ? "answered here" : "nobody has said so of late");
    }
  }

  /** Lets go of what is over. */
  public void tick(double now) {
    for (Node n : nodes.values()) {
      if (now >= n.reviewMs) {
        n.evidence.removeIf(
            e -> {
              if (now >= e.untilMs()) {
                digest ^= e.mark();
                return true;
              }
              return false;
            });
        review(now, n, null);
      }
    }
  }

  /**
   * Whether others' word keeps this one from it now; where it may try, false may be its turn to.
   */
  public boolean passOver(double now, int id, boolean mayTry) {
    Node n = nodes.get(id);
    if (n == null || n.evidence.isEmpty()) {
      return false;
    }
    if (now >= n.reviewMs) {
      review(now, n, null);
    }
    if (!n.out) {
      return full(now, n);
    }
    if (!mayTry || now - n.trialMs < TRIAL_MS) {
      return true;
    }
    double last = Double.NEGATIVE_INFINITY;
    int mark = 0;
    for (VerdictEvidence e : n.evidence) {
      if (e.kind() == Kind.OUT && e.atMs() > last) {
        last = e.atMs();
        mark = e.mark();
      }
    }
    double lots = Math.max(LEAST_LOTS_MS, Math.min(MOST_LOTS_MS, LOT_MS * alive));
    if (now < last + REST_MS + (on(Part.LOTS) ? lot(mark) * lots : 0)
        && now - n.triedMs < OWN_TRY_MS + OWN_TRY_EACH_MS * alive) {
      return true;
    }
    n.trialMs = n.triedMs = now;
    return false;
  }

  private boolean full(double now, Node n) {
    return now - n.answeredMs > PLACE_MS
        && n.evidence.stream().anyMatch(e -> saysFull(now, e) && lot(e.mark()) * LOOKS_ONE_IN >= 1);
  }

  /** This proxy's own lot in a matter, from 0 to 1. */
  private double lot(int mark) {
    int h = (mark ^ me * 0x9E3779B9) * 0xC2B2AE35;
    h = (h ^ h >>> 15) * 0x27D4EB2F;
    return ((h ^ h >>> 16) >>> 1) / (double) (1L << 31);
  }

  // ---- for who tells and who looks

  /** The same at all who hold the same. */
  public int digest() {
    return digest;
  }

  /** All that is held and not over, in the order of the nodes. */
  public List<VerdictEvidence> held(double now) {
    List<VerdictEvidence> all = new ArrayList<>();
    nodes.values().stream()
        .filter(n -> !n.evidence.isEmpty())
        .sorted(Comparator.comparingInt(n -> n.id))
        .forEach(n -> n.evidence.stream().filter(e -> now < e.untilMs()).forEach(all::add));
    return all;
  }

  /** Whether it is out by others' word, whatever this one's turn to try it. */
  public boolean out(int id) {
    Node n = nodes.get(id);
    return n != null && n.out;
  }

  /** How many are. */
  public int outs() {
    return outs;
  }

  /** Pieces of others' evidence that were news, since the start. */
  public long learned() {
    return learned;
  }

  /**
   * Pieces that were not taken: of a node or a proxy that there is not, over, or of one that is not
   * heard.
   */
  public long dropped() {
    return dropped;
  }
}
