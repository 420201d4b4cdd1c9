package cacheproxy.shared;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * This proxy's part of a request budget that the proxies of a tier share. The proxy spends its part
 * without communication, by a token bucket whose rate and size are proportional to the units that
 * it may use.
 *
 * <p>The budget is divided into {@link #TOTAL_UNITS} units. Each proxy owns a floor of units that
 * it never lends, and further units that it lends to proxies with more demand. The lender stops
 * using lent units before the borrower starts. The borrower's term starts with its request and the
 * lender's term with the later grant, each by the proxy's own clock, so that the lender's term ends
 * after the borrower's. The units in use therefore never exceed the total, even if messages are
 * lost, delayed or duplicated and proxies pause, crash or restart, provided that the rates of the
 * clocks differ by no more than {@link Settings#clockDrift}. The clocks need not agree on the time
 * of day.
 *
 * <p>Units that a crashed proxy has lent or borrowed return to their owners when the leases end.
 * The units that it owns are unavailable to the tier until it restarts. A restarted proxy does not
 * know which units it had lent, so it uses only its floor until all such leases have ended.
 * Borrowed units are not lent to a third proxy.
 *
 * <p>Memory is bounded by {@link #MAX_LEASES}. All times are milliseconds of one monotonic clock.
 * Not thread-safe.
 */
public final class SlowStartQuota {
  /** The number of units into which the budget of the tier is divided. */
  public static final int TOTAL_UNITS = 1 << 20;

  /** The limit on concurrent lent leases, on borrowed leases and on pending requests, each. */
  static final int MAX_LEASES = 32;

  /**
   * One borrower receives at most the lendable units divided by this, so that a faulty borrower
   * cannot take all of them.
   */
  private static final int MAX_SHARE_DIVISOR = 2;

  /** The lender keeps its spare units divided by this number as a reserve. */
  private static final int RESERVE_DIVISOR = 4;

  /** The limit on concurrent leases from one lender. */
  private static final int MAX_LEASES_PER_LENDER = 2;

  /** Half-life of the exponential average of the demand. */
  private static final double DEMAND_HALF_LIFE_MS = 1000;

  /** A lender keeps units for this multiple of its demand, and a borrower requests as many. */
  private static final double DEMAND_MARGIN = 1.25;

  /** The proxy is short of units when its demand exceeds this share of its spendable units. */
  private static final double SHORTAGE_THRESHOLD = 0.9;

  /**
   * Settings of one budget, the same at all proxies that share it.
   *
   * @param proxies the number of proxies that share the budget, 1 to 10,000
   * @param floorShare share of the budget that is never lent, from 0 to 1
   * @param ratePerMs the amount that the entire tier may spend per millisecond
   * @param burst the amount that the entire tier may save up
   * @param leaseMs the term of a lease by the lender's clock
   * @param clockDrift the largest relative error of a clock's rate, from 0 to below 0.1
   */
  public record Settings(
      int proxies,
      double floorShare,
      double ratePerMs,
      double burst,
      double leaseMs,
      double clockDrift) {
    private static final int MAX_PROXIES = 10_000;
    private static final double MAX_CLOCK_DRIFT = 0.1;
    private static final double DEFAULT_FLOOR_SHARE = 0.3;
    private static final double DEFAULT_LEASE_MS = 2000;
    private static final double DEFAULT_CLOCK_DRIFT = 0.001;

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a value is out of bounds
     */
    public Settings {
      boolean valid =
          proxies >= 1
              && proxies <= MAX_PROXIES
              && floorShare >= 0
              && floorShare <= 1
              && ratePerMs > 0
              && burst > 0
              && leaseMs > 0
              && clockDrift >= 0
              && clockDrift < MAX_CLOCK_DRIFT;
      if (!valid) {
        throw new IllegalArgumentException(
            String.format(
                "invalid quota: %s proxies, floor %s, %s per ms, burst %s, lease %s ms, drift %s",
                proxies, floorShare, ratePerMs, burst, leaseMs, clockDrift));
      }
    }

    /**
     * Settings that allow at most {@code limit} in each window of this length.
     *
     * @param burstShare share of the limit that may be spent at one moment
     */
    public static Settings ofWindow(int proxies, double limit, double windowMs, double burstShare) {
      return new Settings(
          proxies,
          DEFAULT_FLOOR_SHARE,
          limit * (1 - burstShare) / windowMs,
          limit * burstShare,
          DEFAULT_LEASE_MS,
          DEFAULT_CLOCK_DRIFT);
    }

    /** The borrower's term, which starts with its request and runs by its own clock. */
    double borrowerTermMs() {
      return leaseMs * (1 - clockDrift) / (1 + clockDrift);
    }

    /** The time after a restart, by any clock, after which all earlier leases have ended. */
    double restartQuietMs() {
      return leaseMs * (1 + clockDrift) / (1 - clockDrift);
    }
  }

  /** Safety rules. All are enabled in production; a test can disable one to show its effect. */
  public enum Safeguard {
    /** A restarted proxy uses only its floor until its earlier leases have ended. */
    RESTART_QUIET_PERIOD,
    /** The borrower's term starts when it sends its request, not when the grant arrives. */
    TERM_FROM_REQUEST,
    /** The lender stops using lent units when it sends the grant. */
    LENDER_YIELDS_FIRST,
    /** Saved tokens are limited to the burst that the current units allow. */
    TOKEN_CAP
  }

  /** Units that are lent or borrowed from {@code fromMs} until {@code endMs}. */
  private static final class Lease {
    final int partner;
    final int nonce;
    final int units;
    final double fromMs;
    double endMs;

    Lease(int partner, int nonce, int units, double fromMs, double endMs) {
      this.partner = partner;
      this.nonce = nonce;
      this.units = units;
      this.fromMs = fromMs;
      this.endMs = endMs;
    }

    boolean isActive(double now) {
      return fromMs <= now && now < endMs;
    }

    double activeMsBetween(double from, double to) {
      return Math.max(0, Math.min(to, endMs) - Math.max(from, fromMs));
    }
  }

  private record PendingRequest(int nonce, int lender, double sentMs, int renewedNonce) {}

  private final Settings settings;
  private final Set<Safeguard> disabled;
  private final int floorUnits;
  private final int lendableUnits;
  private final List<Lease> lent = new ArrayList<>();
  private final List<Lease> borrowed = new ArrayList<>();
  private final List<PendingRequest> pending = new ArrayList<>();
  private int lastNonce;
  private double quietUntilMs;
  private boolean overlapping;
  private double ratePerMs;
  private double burst;
  private double tokens;
  private double lastAdvanceMs;
  private double demand;

  /**
   * Creates a quota without tokens for a process that starts now.
   *
   * @param firstNonce random number drawn at each start, so that grants for requests of an earlier
   *     incarnation are not accepted
   * @param disabled safety rules to disable, for tests
   */
  public SlowStartQuota(Settings settings, int firstNonce, double now, Safeguard... disabled) {
    this(settings, firstNonce, now, now, disabled);
  }

  /**
   * Creates a quota without tokens for a process that started earlier.
   *
   * @param startedMs when the process started; its earlier incarnation may have lent units until
   *     then
   */
  public SlowStartQuota(
      Settings settings, int firstNonce, double now, double startedMs, Safeguard... disabled) {
    this.settings = settings;
    ratePerMs = settings.ratePerMs();
    burst = settings.burst();
    this.disabled =
        disabled.length == 0 ? EnumSet.noneOf(Safeguard.class) : EnumSet.of(disabled[0], disabled);
    floorUnits = (int) (TOTAL_UNITS * settings.floorShare()) / settings.proxies();
    lendableUnits = (int) (TOTAL_UNITS * (1 - settings.floorShare())) / settings.proxies();
    lastNonce = firstNonce;
    lastAdvanceMs = now;
    quietUntilMs =
        isEnabled(Safeguard.RESTART_QUIET_PERIOD) ? startedMs + settings.restartQuietMs() : now;
  }

  private boolean isEnabled(Safeguard safeguard) {
    return !disabled.contains(safeguard);
  }

  /**
   * Called when a second process of this proxy starts or ends. While both run, each uses half of
   * the floor and lends nothing. The remaining process lends nothing and uses only its floor until
   * all leases of the other must have ended.
   */
  public void setOverlapping(double now, boolean nowOverlapping) {
    advance(now);
    overlapping = nowOverlapping;
    quietUntilMs = Math.max(quietUntilMs, now + settings.restartQuietMs());
  }

  /** Changes the amounts that the entire tier may spend per millisecond and may save up. */
  public void setRate(double now, double newRatePerMs, double newBurst) {
    advance(now);
    ratePerMs = newRatePerMs;
    burst = newBurst;
    capTokens(now);
  }

  /** Spends this amount if there are enough tokens. Called for each request. */
  public boolean trySpend(double now, double amount) {
    advance(now);
    demand += amount;
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** The units that this proxy may use now, including borrowed and excluding lent units. */
  public int spendableUnits(double now) {
    advance(now);
    return unitsAt(now);
  }

  private int ownFloor() {
    return overlapping ? floorUnits / 2 : floorUnits;
  }

  private int unitsAt(double now) {
    int units = ownFloor();
    if (now >= quietUntilMs && !overlapping) {
      units += lendableUnits - activeUnits(lent, now);
    }
    return Math.max(0, units + activeUnits(borrowed, now));
  }

  private static int activeUnits(List<Lease> leases, double now) {
    int units = 0;
    for (Lease lease : leases) {
      units += lease.isActive(now) ? lease.units : 0;
    }
    return units;
  }

  /**
   * Adds the tokens for the time since the last call, according to the units that were usable
   * during each part of it, and removes ended leases. Called before tokens are spent, so that an
   * ended lease has no effect even if no timer has fired.
   */
  private void advance(double now) {
    double elapsedMs = now - lastAdvanceMs;
    if (elapsedMs <= 0) {
      return;
    }
    tokens += Math.max(0, unitMsUntil(now)) * ratePerMs / TOTAL_UNITS;
    lastAdvanceMs = now;
    lent.removeIf(lease -> now >= lease.endMs);
    borrowed.removeIf(lease -> now >= lease.endMs);
    pending.removeIf(request -> now >= request.sentMs + settings.borrowerTermMs());
    capTokens(now);
    demand *= Math.pow(0.5, elapsedMs / DEMAND_HALF_LIFE_MS);
  }

  /** The integral of the usable units over the time since the last call of {@link #advance}. */
  private double unitMsUntil(double now) {
    double unitMs = ownFloor() * (now - lastAdvanceMs);
    if (!overlapping) {
      double fromMs = Math.max(lastAdvanceMs, quietUntilMs);
      unitMs += lendableUnits * Math.max(0, now - fromMs);
      for (Lease lease : lent) {
        unitMs -= lease.units * lease.activeMsBetween(fromMs, now);
      }
    }
    for (Lease lease : borrowed) {
      unitMs += lease.units * lease.activeMsBetween(lastAdvanceMs, now);
    }
    return unitMs;
  }

  private void capTokens(double now) {
    if (isEnabled(Safeguard.TOKEN_CAP)) {
      tokens = Math.min(tokens, burst * unitsAt(now) / TOTAL_UNITS);
    }
  }

  /** The units that the current demand requires. */
  private double demandUnits() {
    if (ratePerMs <= 0) {
      return 0;
    }
    double demandPerMs = demand * Math.log(2) / DEMAND_HALF_LIFE_MS;
    return Math.min(TOTAL_UNITS, demandPerMs / ratePerMs * TOTAL_UNITS);
  }

  /** Whether the demand on this proxy needs more units than it may use. */
  public boolean isShortOfUnits(double now) {
    advance(now);
    return demandUnits() > SHORTAGE_THRESHOLD * unitsAt(now);
  }

  /** The units currently lent to other proxies. */
  public int lentUnits(double now) {
    return activeUnits(lent, now);
  }

  /** The units currently borrowed from other proxies. */
  public int borrowedUnits(double now) {
    return activeUnits(borrowed, now);
  }

  /**
   * Creates a request to this lender for the units that this proxy lacks, or for the renewal of a
   * lease that ends soon and is still needed. Returns empty if no request is due.
   *
   * @param lender another proxy, chosen by the caller from those that are present
   */
  public Optional<LeaseMessage.Request> requestLease(double now, int lender) {
    advance(now);
    if (pending.size() >= MAX_LEASES || !isShortOfUnits(now)) {
      return Optional.empty();
    }
    for (Lease lease : borrowed) {
      if (lease.partner == lender && needsRenewal(now, lease)) {
        return Optional.of(request(now, lender, lease.units, lease.nonce));
      }
    }
    int missingUnits = (int) Math.min(lendableUnits, DEMAND_MARGIN * demandUnits() - unitsAt(now));
    boolean mayBorrow =
        missingUnits > 0
            && borrowed.size() < MAX_LEASES
            && borrowed.stream().filter(lease -> lease.partner == lender).count()
                < MAX_LEASES_PER_LENDER
            && pending.stream().noneMatch(request -> request.lender == lender);
    return mayBorrow
        ? Optional.of(request(now, lender, missingUnits, LeaseMessage.NO_RENEWAL))
        : Optional.empty();
  }

  private LeaseMessage.Request request(double now, int lender, int units, int renewedNonce) {
    pending.add(new PendingRequest(++lastNonce, lender, now, renewedNonce));
    return new LeaseMessage.Request(lastNonce, units, renewedNonce);
  }

  /** Whether less than half of the lease's term remains and no renewal request is pending. */
  private boolean needsRenewal(double now, Lease lease) {
    return lease.endMs - now < settings.borrowerTermMs() / 2
        && pending.stream().noneMatch(request -> request.renewedNonce == lease.nonce);
  }

  /** The lender of a lease that should be renewed now; empty if there is none. */
  public OptionalInt lenderToRenewWith(double now) {
    for (Lease lease : borrowed) {
      if (needsRenewal(now, lease)) {
        return OptionalInt.of(lease.partner);
      }
    }
    return OptionalInt.empty();
  }

  /** Handles a message of another proxy. Returns the grant to send back for a granted request. */
  public Optional<LeaseMessage.Grant> receive(double now, int sender, LeaseMessage message) {
    if (message instanceof LeaseMessage.Request request) {
      return receiveRequest(now, sender, request);
    }
    receiveGrant(now, sender, (LeaseMessage.Grant) message);
    return Optional.empty();
  }

  /** Handles the request of another proxy. Returns empty if no units are lent. */
  Optional<LeaseMessage.Grant> receiveRequest(
      double now, int borrower, LeaseMessage.Request request) {
    advance(now);
    if (request.units() <= 0 || request.nonce() == 0 || overlapping || now < quietUntilMs) {
      return Optional.empty();
    }
    boolean renewal = request.renewedNonce() != LeaseMessage.NO_RENEWAL;
    for (Lease lease : lent) {
      if (lease.partner == borrower
          && (lease.nonce == request.nonce() || renewal && lease.nonce == request.renewedNonce())) {
        // The borrower renews the lease or repeats a request: restart the term, keep the units.
        lease.endMs = now + settings.leaseMs();
        return Optional.of(
            new LeaseMessage.Grant(request.nonce(), lease.units, request.renewedNonce()));
      }
    }
    int units = Math.min(request.units(), unitsToLend(borrower));
    if (units <= 0 || renewal || lent.size() >= MAX_LEASES) {
      return Optional.empty();
    }
    double fromMs = isEnabled(Safeguard.LENDER_YIELDS_FIRST) ? now : now + settings.leaseMs() / 4;
    lent.add(new Lease(borrower, request.nonce(), units, fromMs, now + settings.leaseMs()));
    capTokens(now);
    return Optional.of(new LeaseMessage.Grant(request.nonce(), units, LeaseMessage.NO_RENEWAL));
  }

  /** The most further units that can be lent to this borrower; may be negative. */
  private int unitsToLend(int borrower) {
    int lentUnits = 0;
    int lentToBorrower = 0;
    for (Lease lease : lent) {
      lentUnits += lease.units;
      lentToBorrower += lease.partner == borrower ? lease.units : 0;
    }
    double needed = Math.max(0, DEMAND_MARGIN * demandUnits() - floorUnits);
    int spare = (int) Math.min(lendableUnits - lentUnits - needed, lendableUnits);
    return Math.min(
        spare - spare / RESERVE_DIVISOR, lendableUnits / MAX_SHARE_DIVISOR - lentToBorrower);
  }

  /** Handles a grant; ignores it if it matches no pending request or arrives too late. */
  void receiveGrant(double now, int lender, LeaseMessage.Grant grant) {
    advance(now);
    Optional<PendingRequest> found =
        pending.stream()
            .filter(request -> request.nonce == grant.nonce() && request.lender == lender)
            .findFirst();
    if (found.isEmpty() || grant.units() <= 0 || grant.units() > lendableUnits) {
      return;
    }
    PendingRequest request = found.get();
    pending.remove(request);
    double fromMs = isEnabled(Safeguard.TERM_FROM_REQUEST) ? request.sentMs : now;
    double endMs = fromMs + settings.borrowerTermMs();
    if (request.renewedNonce != LeaseMessage.NO_RENEWAL) {
      extend(lender, request.renewedNonce, endMs);
    } else if (now < endMs) {
      borrowed.add(new Lease(lender, grant.nonce(), grant.units(), now, endMs));
    }
  }

  private void extend(int lender, int nonce, double endMs) {
    for (Lease lease : borrowed) {
      if (lease.nonce == nonce && lease.partner == lender) {
        lease.endMs = Math.max(lease.endMs, endMs);
        return;
      }
    }
  }
}
