package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.Arrays;

/**
 * Ejects a zone when several of its nodes don't answer. A proxy with few requests per node would
 * otherwise have to detect the loss of a zone node by node. A zone is ejected if several of its
 * nodes fail to answer, none answers in the meantime, and another zone does. The drawback is that a
 * zone that only pauses loses its keys for a while.
 */
final class ZoneOutages {
  /** Evidence weight of an overdue attempt, or of a report by another instance. */
  static final int WEAK_EVIDENCE_WEIGHT = 1;

  /** Evidence weight of a connection that was not established before the connect timeout. */
  static final int STRONG_EVIDENCE_WEIGHT = 2;

  /** Evidence weight at which a zone is ejected. */
  private static final int EJECTION_EVIDENCE_WEIGHT = 4;

  /** Evidence is discarded if no more arrives for this many connect timeouts. */
  private static final int EVIDENCE_CONNECT_TIMEOUTS = 20;

  private static final int ALL_PEERS = -1;

  private final Settings settings;
  private final ZoneObservations[] zones;

  ZoneOutages(Settings settings) {
    this.settings = settings;
    zones = new ZoneObservations[settings.zones()];
    Arrays.setAll(zones, index -> new ZoneObservations());
  }

  boolean isEjected(double now, int zone) {
    return now < zones[zone].ejectedUntilMs;
  }

  void onAnswer(double now, int zone) {
    zones[zone].onAnswer(now);
  }

  /**
   * Adds evidence that a zone doesn't answer.
   *
   * @return whether this evidence caused the ejection of the zone
   */
  boolean onNoAnswer(double now, int zoneId, int node, int weight, Actions actions) {
    ZoneObservations zone = zones[zoneId];
    if (settings.zones() < 2 || !settings.mayHedge() || now < zone.ejectedUntilMs) {
      return false;
    }
    zone.addEvidence(now, node, weight, EVIDENCE_CONNECT_TIMEOUTS * settings.connectTimeoutMs());
    boolean severalNodes = zone.suspectedNode < 0; // also true for a single node with a negative id
    // If the zone has not answered since its last ejection, one piece of evidence is enough.
    boolean outage =
        zone.consecutiveEjections > 0
            || zone.evidenceWeight >= EJECTION_EVIDENCE_WEIGHT && severalNodes;
    if (!outage || !otherZoneAnswered(zone)) {
      return false;
    }
    int doublings = Math.min(zone.consecutiveEjections++, 1);
    zone.ejectedUntilMs = now + OutlierEjection.ejectionMs(settings) * (1 << doublings);
    if (doublings == 0 && settings.peers()) {
      actions.sendToPeer(ALL_PEERS, new ZoneUnresponsiveMessage(settings.zone(), zoneId).encode());
    }
    return true;
  }

  /**
   * Whether another zone has answered since the first evidence. If none has, all zones are slow and
   * none is ejected.
   */
  private boolean otherZoneAnswered(ZoneObservations suspected) {
    for (ZoneObservations zone : zones) {
      if (zone != suspected && zone.lastAnswerMs > suspected.firstEvidenceMs) {
        return true;
      }
    }
    return false;
  }

  /**
   * Handles another instance's report that a zone doesn't answer. Only instances in this zone are
   * trusted, because others may be partitioned from that zone themselves.
   *
   * @return whether this report caused the ejection of the zone
   */
  boolean onPeerReport(double now, ZoneUnresponsiveMessage report, Actions actions) {
    int zone = report.unresponsiveZone();
    boolean trusted = report.senderZone() == settings.zone() && zone >= 0 && zone < zones.length;
    return trusted
        && onNoAnswer(now, zone, ZoneObservations.SEVERAL_NODES, WEAK_EVIDENCE_WEIGHT, actions);
  }
}
