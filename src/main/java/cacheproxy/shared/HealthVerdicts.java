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
 * Health verdicts on cache nodes, derived from this proxy's own attempts and from the evidence that
 * other proxies gossip. Gossip can exclude a node from this proxy's choice only temporarily.
 *
 * <ul>
 *   <li>Own experience first: evidence older than the node's last answer to this proxy is not
 *       counted.
 *   <li>A node is excluded when two observers (this proxy may be one) found it unreachable, unless
 *       all observers are in one zone other than this proxy's: for the proxies of a partitioned
 *       zone, all nodes of the other zones fail.
 *   <li>Gossip excludes at most {@link #MAX_EXCLUDED_SHARE} of the nodes, and never the last node
 *       of a zone.
 *   <li>A proxy probes an excluded node with a request when a random delay since the latest
 *       evidence has passed. The range of the delays grows with the tier, so that the first probe
 *       comes soon and few come at once.
 *   <li>One answer of the node, to any proxy, removes all older evidence that it is unreachable.
 *   <li>An observer whose evidence this proxy's own attempts contradict repeatedly is distrusted
 *       temporarily.
 *   <li>For evidence that a node has no free connection slot, one observer is enough. Three in four
 *       proxies then avoid the node, except those that it has answered recently.
 * </ul>
 *
 * <p>Evidence expires {@link #VALIDITY_MS} after its last confirmation, or later if the observer
 * avoids the node for longer, so a wrong verdict of the entire tier ends by itself. Memory is
 * bounded to a few pieces of evidence per listed node. Times are in ms of one clock. Not
 * thread-safe.
 */
public final class HealthVerdicts {
  /** Safety rules. All are enabled in production; a test can disable one to show its effect. */
  public enum Safeguard {
    /** Evidence older than the node's last answer to this proxy is not counted. */
    OWN_EXPERIENCE_FIRST,
    /** Excluding a node needs evidence of two observers. */
    TWO_OBSERVERS,
    /** The observers must not all be in one zone other than this proxy's. */
    ZONE_DIVERSITY,
    /** Gossip excludes a limited share of the nodes and never the last node of a zone. */
    EXCLUSION_LIMIT,
    /** Random delays spread the probes of different proxies. */
    RANDOM_PROBE_DELAY,
    /** An answer of a node removes older evidence that it is unreachable. */
    ANSWER_SUPERSEDES,
    /** Evidence of observers that were wrong repeatedly is not accepted. */
    OBSERVER_CREDIBILITY
  }

  /** Receives changes of the verdicts. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called when the verdict on a node has changed or another proxy has had an answer from it.
     *
     * @param excluded whether the node is now excluded
     * @param byOther whether another proxy's evidence caused the change, not an attempt of this
     *     proxy or an expiry
     * @param cause a text for the log
     */
    void verdictChanged(double now, int node, boolean excluded, boolean byOther, String cause);
  }

  /** How long evidence is valid after the last attempt that confirmed it. */
  static final double VALIDITY_MS = 12_000;

  /**
   * Other proxies' evidence is rejected if valid for over this multiple of {@link #VALIDITY_MS}.
   */
  private static final int MAX_VALIDITY_FACTOR = 4;

  /** This proxy reports a failure only if it avoids the node for at least this time. */
  static final double MIN_REPORTED_MS = 1000;

  /** The longest validity of evidence that a node has no free connection slot. */
  static final double NO_SLOT_VALIDITY_MS = 4000;

  /** A node that answered this proxy within this time is assumed to have a slot for it. */
  static final double RECENT_ANSWER_MS = 5000;

  /** The largest share of the listed nodes that gossip may exclude. */
  static final double MAX_EXCLUDED_SHARE = 0.4;

  /** A probe without a result ends after this time, and this proxy may probe the node again. */
  private static final double PROBE_TIMEOUT_MS = 1500;

  // One in this number of proxies ignores other proxies' evidence of a missing connection slot, so
  // that the node still receives some requests.
  private static final int NO_SLOT_IGNORED_BY_ONE_IN = 4;

  private static final int SEQUENCE_MASK = 0xFFFF;

  private static final class Node {
    final int id;
    final NodeEvidence evidence;
    int zone;
    double lastAnswerMs = Double.NEGATIVE_INFINITY;

    /** When this proxy's current probe began; negative infinity if there is none. */
    double probeBeganMs = Double.NEGATIVE_INFINITY;

    /** When the node became excluded, or when this proxy last probed it or found it unreachable. */
    double lastTriedMs = Double.NEGATIVE_INFINITY;

    boolean excluded;
    double nextEvaluationMs = Double.POSITIVE_INFINITY;

    Node(int id, NodeEvidence evidence) {
      this.id = id;
      this.evidence = evidence;
    }
  }

  private final int me;
  private final int zone;
  private final Listener listener;
  private final Set<Safeguard> disabled;
  private final ObserverCredibility credibility;
  private final ProbeSchedule probes;
  private final Map<Integer, Node> nodes = new HashMap<>();
  private int lastSequence;
  private int excludedNodes;
  private int digest;
  private long acceptedPieces;
  private long rejectedPieces;

  /**
   * Creates verdicts without evidence and without nodes; {@link #setNodes} adds nodes.
   *
   * @param proxies the number of proxies in the tier
   * @param me this proxy's number
   * @param zone this proxy's zone
   * @param firstSequence random number drawn at the start, from which this proxy's evidence is
   *     numbered, so that it is not confused with evidence of an earlier incarnation
   * @param disabled safety rules to disable, for tests
   */
  public HealthVerdicts(
      int proxies, int me, int zone, int firstSequence, Listener listener, Safeguard... disabled) {
    this.me = me;
    this.zone = zone;
    this.lastSequence = firstSequence;
    this.listener = listener;
    this.disabled = EnumSet.noneOf(Safeguard.class);
    this.disabled.addAll(Arrays.asList(disabled));
    credibility = new ObserverCredibility(proxies, isEnabled(Safeguard.OBSERVER_CREDIBILITY));
    probes = new ProbeSchedule(me, isEnabled(Safeguard.RANDOM_PROBE_DELAY));
  }

  private boolean isEnabled(Safeguard safeguard) {
    return !disabled.contains(safeguard);
  }

  /** Whether the endpoint list names this node. */
  public boolean isListed(int node) {
    return nodes.containsKey(node);
  }

  /** Sets the number of live proxies of the tier, including this one. */
  public void setLiveProxies(int count) {
    probes.setLiveProxies(count);
  }

  /** Sets the nodes of the endpoint list and their zones; drops the evidence on other nodes. */
  public void setNodes(int[] ids, int[] zones) {
    Map<Integer, Node> previous = new HashMap<>(nodes);
    nodes.clear();
    for (int i = 0; i < ids.length; i++) {
      Node node = previous.remove(ids[i]);
      if (node == null) {
        node = new Node(ids[i], new NodeEvidence(me, isEnabled(Safeguard.ANSWER_SUPERSEDES)));
      }
      node.zone = zones[i];
      nodes.put(node.id, node);
    }
    for (Node removed : previous.values()) {
      excludedNodes -= removed.excluded ? 1 : 0;
      digest ^= removed.evidence.digest();
    }
  }

  /**
   * Records that an attempt of this proxy found the node unreachable.
   *
   * @param sinceMs when the attempt began
   * @param forMs how long this proxy will avoid the node regardless of gossip
   * @return whether there is new evidence to report
   */
  public boolean recordFailure(double now, int id, double sinceMs, double forMs) {
    Node node = nodes.get(id);
    if (node == null || forMs < MIN_REPORTED_MS || sinceMs < node.lastAnswerMs) {
      return false;
    }
    for (VerdictEvidence piece : node.evidence.pieces()) {
      double ageMs = sinceMs - piece.observedMs();
      if (piece.kind() == Kind.RECOVERED
          && piece.observer() != me
          && ageMs > 0
          && ageMs < ProbeSchedule.MIN_DELAY_MS) {
        credibility.recordError(now, piece.observer());
      }
    }
    node.probeBeganMs = Double.NEGATIVE_INFINITY;
    node.lastTriedMs = now;
    addOwn(now, node, Kind.UNREACHABLE, sinceMs, now + Math.max(forMs, VALIDITY_MS));
    return true;
  }

  /**
   * Records that the node refused a connection of this proxy.
   *
   * @param forMs how long this proxy will open no further connection to the node
   * @return whether there is new evidence to report
   */
  public boolean recordNoConnectionSlot(double now, int id, double forMs) {
    Node node = nodes.get(id);
    if (node == null) {
      return false;
    }
    double expiresMs = now + Math.min(forMs, NO_SLOT_VALIDITY_MS);
    addOwn(now, node, Kind.NO_CONNECTION_SLOT, now, expiresMs);
    return true;
  }

  /**
   * Records an answer of the node to this proxy. Called for each request.
   *
   * @param sentMs when the request was sent
   * @return whether there is new evidence to report, because evidence calls the node unreachable
   */
  public boolean recordAnswer(double now, int id, double sentMs) {
    Node node = nodes.get(id);
    if (node == null) {
      return false;
    }
    node.lastAnswerMs = now;
    node.probeBeganMs = Double.NEGATIVE_INFINITY;
    if (node.evidence.isEmpty()) {
      return false;
    }
    boolean reportedUnreachable = false;
    for (VerdictEvidence piece : node.evidence.pieces()) {
      if (piece.kind() == Kind.UNREACHABLE && now < piece.expiresMs()) {
        reportedUnreachable = true;
        boolean observedWhileInFlight = piece.observedMs() > sentMs;
        if (piece.observer() != me && observedWhileInFlight) {
          credibility.recordError(now, piece.observer());
        }
      }
    }
    if (reportedUnreachable) {
      addOwn(now, node, Kind.RECOVERED, now, now + VALIDITY_MS);
    }
    return reportedUnreachable;
  }

  private void addOwn(double now, Node node, Kind kind, double observedMs, double expiresMs) {
    lastSequence = lastSequence + 1 & SEQUENCE_MASK;
    add(
        now,
        node,
        new VerdictEvidence(node.id, kind, me, zone, lastSequence, observedMs, expiresMs));
  }

  /**
   * Merges evidence of another proxy, received from its observer or forwarded by a third proxy.
   *
   * @param received the evidence, with its times converted to this proxy's clock
   * @return whether it was new, so that it should be announced to other proxies
   */
  public boolean receive(double now, VerdictEvidence received) {
    Node node = nodes.get(received.node());
    if (node == null || !isAcceptable(now, received)) {
      rejectedPieces += node != null && received.observer() != me ? 1 : 0;
      return false;
    }
    if (node.evidence.makesObsolete(received)
        || received.kind() == Kind.NO_CONNECTION_SLOT && !mayExclude(now, node)
        || !add(now, node, received)) {
      return false;
    }
    acceptedPieces++;
    return true;
  }

  private boolean isAcceptable(double now, VerdictEvidence received) {
    double validityMs = received.expiresMs() - received.observedMs();
    return credibility.isKnown(received.observer())
        && received.observer() != me
        && now < received.expiresMs()
        && received.observedMs() <= now
        && validityMs <= MAX_VALIDITY_FACTOR * VALIDITY_MS
        && !credibility.isDistrusted(now, received.observer());
  }

  private boolean add(double now, Node node, VerdictEvidence added) {
    digest ^= node.evidence.digest();
    boolean wasAdded = node.evidence.add(now, added);
    digest ^= node.evidence.digest();
    if (wasAdded) {
      boolean remoteAnswer = added.kind() == Kind.RECOVERED && added.observer() != me;
      reevaluate(now, node, added.observer() != me, remoteAnswer, added.observer());
    }
    return wasAdded;
  }

  /** Whether evidence of this observer is currently not accepted. */
  public boolean isDistrusted(double now, int observer) {
    return credibility.isDistrusted(now, observer);
  }

  /** Whether the evidence suffices to exclude the node. */
  private boolean isUnreachable(double now, Node node) {
    int observers = 0;
    boolean diverse = false;
    int firstZone = -1;
    for (VerdictEvidence piece : node.evidence.pieces()) {
      if (countsAgainst(now, node, piece)) {
        observers++;
        diverse |= piece.zone() == zone || firstZone >= 0 && piece.zone() != firstZone;
        firstZone = piece.zone();
      }
    }
    return observers >= (isEnabled(Safeguard.TWO_OBSERVERS) ? 2 : 1)
        && (diverse || !isEnabled(Safeguard.ZONE_DIVERSITY));
  }

  private boolean countsAgainst(double now, Node node, VerdictEvidence piece) {
    return piece.kind() == Kind.UNREACHABLE
        && now < piece.expiresMs()
        && (piece.observedMs() > node.lastAnswerMs || !isEnabled(Safeguard.OWN_EXPERIENCE_FIRST))
        && (piece.observer() == me || !credibility.isDistrusted(now, piece.observer()));
  }

  /** Whether the limit on excluded nodes is not reached and the zone has another usable node. */
  private boolean mayExclude(double now, Node node) {
    if (!isEnabled(Safeguard.EXCLUSION_LIMIT)) {
      return true;
    }
    int avoided = 1;
    boolean anotherInZone = false;
    for (Node other : nodes.values()) {
      boolean isAvoided = other.excluded || hasRemoteNoSlotEvidence(now, other);
      avoided += other != node && isAvoided ? 1 : 0;
      anotherInZone |= other != node && other.zone == node.zone && !isAvoided;
    }
    return anotherInZone && avoided <= MAX_EXCLUDED_SHARE * nodes.size();
  }

  private boolean hasRemoteNoSlotEvidence(double now, Node node) {
    return node.evidence.pieces().stream().anyMatch(piece -> isRemoteNoSlotEvidence(now, piece));
  }

  private boolean isRemoteNoSlotEvidence(double now, VerdictEvidence piece) {
    return piece.kind() == Kind.NO_CONNECTION_SLOT
        && piece.observer() != me
        && now < piece.expiresMs();
  }

  private void reevaluateAfterExpiry(double now, Node node) {
    reevaluate(now, node, false, false, me);
  }

  /**
   * Determines the verdict on a node again and reports a change to the listener.
   *
   * @param remote whether evidence of another proxy is the reason, not an attempt of this proxy or
   *     an expiry
   * @param remoteAnswer whether that evidence says that the node answered the other proxy
   * @param observer the observer of the evidence that is the reason; this proxy after an expiry
   */
  private void reevaluate(
      double now, Node node, boolean remote, boolean remoteAnswer, int observer) {
    node.nextEvaluationMs = node.evidence.nextExpiryMs();
    boolean unreachable = isUnreachable(now, node);
    boolean changes = unreachable != node.excluded && (!unreachable || mayExclude(now, node));
    if (changes) {
      node.excluded = unreachable;
      excludedNodes += unreachable ? 1 : -1;
    }
    if (changes && unreachable) {
      node.lastTriedMs = now;
      listener.verdictChanged(now, node.id, true, remote, observersOf(node));
    } else if (remoteAnswer && !unreachable) {
      listener.verdictChanged(now, node.id, false, true, "answered proxy " + observer);
    } else if (changes) {
      String cause = node.lastAnswerMs >= now ? "answered here" : "nobody has said so of late";
      listener.verdictChanged(now, node.id, false, false, cause);
    }
  }

  private static String observersOf(Node node) {
    StringBuilder cause = new StringBuilder("out of reach for");
    node.evidence.pieces().stream()
        .filter(piece -> piece.kind() == Kind.UNREACHABLE)
        .forEach(piece -> cause.append(' ').append(piece.observer()));
    return cause.toString();
  }

  /** Drops expired evidence and determines the verdicts on the affected nodes again. */
  public void expire(double now) {
    for (Node node : nodes.values()) {
      if (now >= node.nextEvaluationMs) {
        digest ^= node.evidence.digest();
        node.evidence.expire(now);
        digest ^= node.evidence.digest();
        reevaluateAfterExpiry(now, node);
      }
    }
  }

  /**
   * Whether one request must skip the node because of gossip. Called for each request.
   *
   * @param mayProbe whether the request may serve as a probe of an excluded node; if so and a probe
   *     is due, returns false and records that the probe began
   */
  public boolean shouldSkip(double now, int id, boolean mayProbe) {
    Node node = nodes.get(id);
    if (node == null || node.evidence.isEmpty()) {
      return false;
    }
    if (now >= node.nextEvaluationMs) {
      reevaluateAfterExpiry(now, node);
    }
    if (!node.excluded) {
      return lacksConnectionSlot(now, node);
    }
    if (!mayProbe
        || now - node.probeBeganMs < PROBE_TIMEOUT_MS
        || !probes.isDue(now, node.evidence.pieces(), node.lastTriedMs)) {
      return true;
    }
    node.probeBeganMs = now;
    node.lastTriedMs = now;
    return false;
  }

  private boolean lacksConnectionSlot(double now, Node node) {
    if (now - node.lastAnswerMs <= RECENT_ANSWER_MS) {
      return false;
    }
    for (VerdictEvidence piece : node.evidence.pieces()) {
      if (isRemoteNoSlotEvidence(now, piece)
          && probes.randomFraction(piece.fingerprint()) * NO_SLOT_IGNORED_BY_ONE_IN >= 1) {
        return true;
      }
    }
    return false;
  }

  /** A digest that is equal at all proxies with the same evidence. */
  public int digest() {
    return digest;
  }

  /** All valid evidence, ordered by node number. */
  public List<VerdictEvidence> evidence(double now) {
    List<VerdictEvidence> valid = new ArrayList<>();
    nodes.values().stream()
        .filter(node -> !node.evidence.isEmpty())
        .sorted(Comparator.comparingInt(node -> node.id))
        .flatMap(node -> node.evidence.pieces().stream())
        .filter(piece -> now < piece.expiresMs())
        .forEach(valid::add);
    return valid;
  }

  /** Whether gossip excludes the node, even if a probe is due. */
  public boolean isExcluded(int id) {
    Node node = nodes.get(id);
    return node != null && node.excluded;
  }

  /** The number of nodes that gossip excludes. */
  public int excludedCount() {
    return excludedNodes;
  }

  /** The number of pieces of other proxies' evidence that were new, since the start. */
  public long acceptedCount() {
    return acceptedPieces;
  }

  /**
   * The number of pieces of other proxies' evidence on listed nodes that were rejected since the
   * start: expired, implausibly dated, or from an unknown or distrusted observer.
   */
  public long rejectedCount() {
    return rejectedPieces;
  }
}
