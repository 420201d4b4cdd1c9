package cacheproxy.shared;

import java.util.List;
import java.util.OptionalInt;

/**
 * A message between two proxies about the state that they share. A {@link PushNotification}
 * announces news, a {@link PullRequest} asks for it, and a {@link PullResponse} answers exactly one
 * request. Nothing that arrives in any other way is believed: the answer to an own request is at
 * most as old as the request, however long the network has delayed or duplicated it.
 *
 * <p>{@link SharedMessageCodec} defines the bytes.
 */
sealed interface SharedMessage
    permits SharedMessage.PushNotification, SharedMessage.PullRequest, SharedMessage.PullResponse {
  /** Drawn when the sender started, 1 to 65,535; tells its restarts apart. */
  int incarnation();

  /** {@link HealthVerdicts#digest} of the sender. */
  int digest();

  /** Announces that the sender has learned something. */
  record PushNotification(int incarnation, int digest) implements SharedMessage {}

  /**
   * An anti-entropy pull.
   *
   * @param nonce repeated in the response
   * @param cursor where in the responder's evidence to continue; empty: whatever was reported least
   * @param quotaRequests slow-start quota that the sender wants to borrow, at most {@link
   *     SharedMessageCodec#MAX_QUOTA_REQUESTS}
   */
  record PullRequest(
      int incarnation, int nonce, int digest, OptionalInt cursor, List<QuotaRequest> quotaRequests)
      implements SharedMessage {}

  /**
   * The answer to one pull.
   *
   * @param nonce that of the request
   * @param nextCursor where the evidence goes on; empty: at its end
   */
  record PullResponse(
      int incarnation,
      int nonce,
      int digest,
      OptionalInt nextCursor,
      List<VerdictReport> verdicts,
      List<QuotaGrant> quotaGrants,
      List<CounterReport> counters)
      implements SharedMessage {}

  /**
   * A request for quota of one warming-up node.
   *
   * @param node whose quota it is
   */
  record QuotaRequest(int node, LeaseMessage.Request request) {}

  /**
   * A grant of quota of one warming-up node.
   *
   * @param node whose quota it is
   */
  record QuotaGrant(int node, LeaseMessage.Grant grant) {}

  /**
   * One counter of one proxy, first-hand or passed on.
   *
   * @param kind which counter
   * @param ageMs how long ago the count was read
   */
  record CounterReport(int kind, TierCounters.Total total, double ageMs) {}

  /**
   * {@link VerdictEvidence} with ages in place of times, as clocks of two proxies have nothing in
   * common.
   *
   * @param ageMs how long ago it was observed
   * @param remainingMs how much longer it is valid
   */
  record VerdictReport(
      int node,
      VerdictEvidence.Kind kind,
      int observer,
      int zone,
      int sequence,
      double ageMs,
      double remainingMs) {
    static VerdictReport of(double now, VerdictEvidence evidence) {
      return new VerdictReport(
          evidence.node(),
          evidence.kind(),
          evidence.observer(),
          evidence.zone(),
          evidence.sequence(),
          now - evidence.observedMs(),
          evidence.expiresMs() - now);
    }

    /** Dates it by the clock of the receiver. */
    VerdictEvidence receivedAt(double now) {
      return new VerdictEvidence(
          node, kind, observer, zone, sequence, now - ageMs, now + remainingMs);
    }
  }
}
