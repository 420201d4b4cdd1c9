package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Member;

/**
 * A listed node with the state that this instance has observed. Classes that use a node make the
 * decisions.
 */
final class Node {
  /** Time constant of the exponentially decayed count of answers. */
  static final double ANSWER_WINDOW_MS = 2000;

  final int id;

  /** CARP member hash of the id. */
  final int hash;

  /** Latest endpoint list entry of this node. */
  Member member;

  /** Whether this node is an origin; {@link EndpointList} holds the origin in use. */
  boolean isOrigin;

  /** CARP load factor multiplier. */
  float multiplier;

  /** Fraction, from 0 to 1, of the total weight of all ranked nodes. */
  double weightShare;

  /** Consecutive ejections without a timely answer; 0 if the node is not ejected. */
  int ejections;

  double ejectedUntilMs;

  /** Consecutive failed connections without an answer. */
  int brokenConnections;

  /** Consecutive overdue attempts without a timely answer. */
  int overdueAttempts;

  /** Whether a trial that may reinstate the node is in progress. */
  boolean trialInProgress;

  boolean healthCheckPassed;

  /** Consecutive connects that the node refused because all its connection slots were in use. */
  int slotRefusals;

  /** No new connection is opened before this time. */
  double noSlotUntilMs;

  /** Time of the last ejection by an operator; 0 if there was none. */
  double manuallyEjectedMs;

  /** Time at which an operator last reinstated the node; 0 if none has. */
  double reinstatedMs;

  /** Requests that slow start may still admit to this node. */
  private final TokenBucket slowStartTokens;

  private double slowStartTokensUpdatedMs;
  private double recentAnswers;
  private double recentAnswersUpdatedMs;

  Node(int id, double maxSlowStartTokens) {
    this.id = id;
    hash = Carp.memberHash(id);
    slowStartTokens = new TokenBucket(maxSlowStartTokens);
  }

  /** Clears the ejection and the count of failed connections. */
  void resetFailures() {
    ejections = 0;
    brokenConnections = 0;
    ejectedUntilMs = 0;
  }

  /** Clears the ejection and the counts of failed connections and of overdue attempts. */
  void resetAllFailures() {
    resetFailures();
    overdueAttempts = 0;
  }

  /**
   * Refills the slow-start bucket for the time since the last refill or start, then takes a token.
   *
   * @return whether there was a token
   */
  boolean takeSlowStartToken(double now, double tokensPerMs) {
    double sinceMs = Math.max(slowStartTokensUpdatedMs, member.startedMs());
    slowStartTokens.add(tokensPerMs * Math.max(0, now - sinceMs));
    slowStartTokensUpdatedMs = now;
    return slowStartTokens.take();
  }

  /** Returns the exponentially decayed count of answers. */
  double recentAnswers(double now) {
    return recentAnswers * Math.exp((recentAnswersUpdatedMs - now) / ANSWER_WINDOW_MS);
  }

  void countAnswer(double now) {
    recentAnswers = recentAnswers(now) + 1;
    recentAnswersUpdatedMs = now;
  }
}
