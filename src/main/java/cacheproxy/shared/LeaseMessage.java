package cacheproxy.shared;

/** A message between the borrower and the lender of {@link SlowStartQuota} units. */
public sealed interface LeaseMessage permits LeaseMessage.Request, LeaseMessage.Grant {
  /** Value of {@link #renewedNonce} in a message that requests or grants a new lease. */
  int NO_RENEWAL = 0;

  /** Identifies the request, its grant and the resulting lease. */
  int nonce();

  /** The requested or lent units, out of {@link SlowStartQuota#TOTAL_UNITS} of the quota. */
  int units();

  /** The nonce of the lease to renew, or {@link #NO_RENEWAL}. */
  int renewedNonce();

  /** Sent by the borrower to request units. */
  record Request(int nonce, int units, int renewedNonce) implements LeaseMessage {}

  /** Sent by the lender in response to a request that it grants. */
  record Grant(int nonce, int units, int renewedNonce) implements LeaseMessage {}
}
