package cacheproxy.shared;

/** A message between the borrower and the lender of units of a {@link SlowStartQuota}. */
public sealed interface LeaseMessage permits LeaseMessage.Request, LeaseMessage.Grant {
  /** No lease is renewed: a new one is asked for, or given. */
  int NO_RENEWAL = 0;

  /** Identifies the request, and the lease that it leads to. */
  int nonce();

  /** Units asked for, or lent; a budget has {@link SlowStartQuota#TOTAL_UNITS}. */
  int units();

  /** The nonce of the lease to renew, or {@link #NO_RENEWAL}. */
  int renewedNonce();

  /** The borrower asks for units. */
  record Request(int nonce, int units, int renewedNonce) implements LeaseMessage {}

  /** The lender lends units. */
  record Grant(int nonce, int units, int renewedNonce) implements LeaseMessage {}
}
