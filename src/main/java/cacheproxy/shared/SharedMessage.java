package cacheproxy.shared;

import java.util.List;
import java.util.OptionalInt;

/**
 * A message between two proxies about their shared state. A {@link PushNotification} announces new
 * evidence, a {@link PullRequest} asks for it, and a {@link PullResponse} answers one request. A
 * proxy accepts state only from responses to its own requests: such a response is no older than the
 * request, even if the network delays or duplicates it.
 *
 * <p>{@link SharedMessageCodec} defines the bytes.
 */
sealed interface SharedMessage
    permits SharedMessage.PushNotification, SharedMessage.PullRequest, SharedMessage.PullResponse {
  /** Random number from 1 to 65,535 that distinguishes the restarts of the sender. */
  int incarnation();

  /** The sender's {@link HealthVerdicts#digest}. */
  int digest();

  /** Announces that the sender has new evidence on a node. */
  record PushNotification(int incarnation, int digest) implements SharedMessage {}

  /**
   * An anti-entropy pull.
   *
   * @param nonce copied into the response
   * @param cursor position in the responder's evidence from which to read; empty to receive the
   *     least often reported pieces
   * @param quotaRequests slow-start quota that the sender wants to borrow, at most {@link
   *     SharedMessageCodec#MAX_QUOTA_REQUESTS}
   */
  record PullRequest(
      int incarnation, int nonce, int digest, OptionalInt cursor, List<QuotaRequest> quotaRequests)
      implements SharedMessage {}

  /**
   * The response to one pull.
   *
   * @param nonce the nonce of the request
   * @param nextCursor position of the next page of evidence; empty if there is none
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
   * @param node the warming-up node
   */
  record QuotaRequest(int node, LeaseMessage.Request request) {}

  /**
   * A grant of quota of one warming-up node.
   *
   * @param node the warming-up node
   */
  record QuotaGrant(int node, LeaseMessage.Grant grant) {}

  /**
   * One counter of the sender, or of a third proxy whose report the sender forwards.
   *
   * @param kind the kind of node whose answers are counted
   * @param ageMs how long ago the counter had this value
   */
  record CounterReport(int kind, TierCounters.Total total, double ageMs) {}

  /**
   * {@link VerdictEvidence} with ages instead of times, as the clocks of two proxies are unrelated.
   *
   * @param ageMs how long ago the observation was made
   * @param remainingMs how much longer the evidence is valid
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

    /** Converts the ages to times of the receiver's clock. */
    VerdictEvidence receivedAt(double now) {
      return new VerdictEvidence(
          node, kind, observer, zone, sequence, now - ageMs, now + remainingMs);
    }
  }
}
