package cacheproxy.shared;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * This proxy's part of one budget of the whole tier, spent without asking anybody. The budget is
 * cut into {@link #WHOLE} units. A floor of them is each proxy's own for ever; the others are its
 * own too, but it may lend them: the lender gives up first, for a time that runs from its word by
 * its clock, late; the borrower's time runs from its question by its own clock, early. So in every
 * history of losses, delays, doubles, pauses, cuts, deaths and restarts what all may spend is the
 * whole at most, as long as clocks go alike within {@link Terms#drift}; wall clocks do not count.
 *
 * <p>What a dead one has lent or borrowed comes back when its time is over; what it owned is lost
 * to the others until it is back, which no rule can mend without a majority that two halves would
 * have to do without. A restarted one does not know what its former life lent: it has its floor
 * alone until all that must be over. A borrowed part is not lent on.
 *
 * <p>Bounded: so many loans each way; a question and an answer of eleven bytes a period. Times in
 * milliseconds of one clock that does not go back.
 */
public final class SlowStartQuota {
  /** The units that a budget has. */
  public static final int WHOLE = 1 << 20;

  /** Loans given, and taken, at one time. */
  static final int MOST_LOANS = 32;

  /** Of what one could lend, the most that goes to one borrower: so a liar does not get all. */
  private static final int TO_ONE = 2;

  /** Loans from one lender at one time. */
  private static final int FROM_ONE = 2;

  /** Use is counted over about this time. */
  private static final double USE_MS = 1000;

  /** What is left to the lender over what it has used lately. */
  private static final double KEEP = 1.25;

  /**
   * @param tier proxies that the configuration names
   * @param floor part of the budget that is never lent, from 0 to 1
   * @param perMs what the whole tier may spend in a millisecond
   * @param burst what the whole tier may have saved up
   * @param lendMs a loan's time by the lender's clock
   * @param drift by which part a clock may go faster or slower than another
   */
  public record Terms(
      int tier, double floor, double perMs, double burst, double lendMs, double drift) {
    public Terms {
      if (tier < 1
          || tier > 10_000
          || !(floor >= 0
              && floor <= 1
              && perMs > 0
              && burst > 0
              && lendMs > 0
              && drift >= 0
              && drift < 0.1)) {
        throw new IllegalArgumentException(
            "tier "
                + tier
                + ", floor "
                + floor
                + ", "
                + perMs
                + " per ms, burst "
                + burst
                + ", lend "
                + lendMs
                + " ms, drift "
                + drift);
      }
    }

    /**
     * A budget of so much in each window of this length: a part of it may be spent in one moment.
     */
    public static Terms ofWindow(int tier, double guarantee, double windowMs, double atOnce) {
      return new Terms(
          tier, 0.3, guarantee * (1 - atOnce) / windowMs, guarantee * atOnce, 2000, 0.001);
    }

    /** The borrower's time, from its question on, by its own clock. */
    double useMs() {
      return lendMs * (1 - drift) / (1 + drift);
    }

    /** After so long by any clock nothing that a former life has lent can be spent. */
    double quietMs() {
      return lendMs * (1 + drift) / (1 - drift);
    }
  }

  /** Parts that can be left out to see what each is for; all are on in use. */
  public enum Part {
    QUIET,
    FROM_THE_QUESTION,
    GIVEN_UP_FIRST,
    CAP
  }

  /** A question for units, or the answer to it. */
  public record Message(boolean grant, int nonce, int units, int renews) {}

  private static final class Loan {
    final int with;
    final int nonce;
    final int units;
    double fromMs;
    double endMs;

    Loan(int with, int nonce, int units, double fromMs, double endMs) {
      this.with = with;
      this.nonce = nonce;
      this.units = units;
      this.fromMs = fromMs;
      this.endMs = endMs;
    }

    double within(double from, double to) {
      return Math.max(0, Math.min(to, endMs) - Math.max(from, fromMs));
    }
  }

  private record Question(int nonce, int to, double atMs, int renews) {}

  private final Terms terms;
  private final Set<Part> without;
  private final int floor;
  private final int own;
  private final List<Loan> lent = new ArrayList<>();
  private final List<Loan> borrowed = new ArrayList<>();
  private final List<Question> asked = new ArrayList<>();
  private int nonces;
  private double quietUntil;
  private boolean beside;
  private double perMs;
  private double burst;
  private double tokens;
  private double lastMs;
  private double wanted;

  /**
   * A right with nothing saved. From its start on for {@link Terms#quietMs} the floor is all there
   * is.
   *
   * @param nonce drawn anew at each start: answers to a former life's questions are not taken
   */
  public SlowStartQuota(Terms terms, int nonce, double now, Part... without) {
    this(terms, nonce, now, now, without);
  }

  /**
   * The same of a process that has run since then: its former life may have lent what it does not
   * know of.
   */
  public SlowStartQuota(Terms terms, int nonce, double now, double startedMs, Part... without) {
    this.terms = terms;
    perMs = terms.perMs();
    burst = terms.burst();
    this.without =
        without.length == 0 ? EnumSet.noneOf(Part.class) : EnumSet.of(without[0], without);
    floor = (int) (WHOLE * terms.floor()) / terms.tier();
    own = (int) (WHOLE * (1 - terms.floor())) / terms.tier();
    nonces = nonce;
    lastMs = now;
    quietUntil = on(Part.QUIET) ? startedMs + terms.quietMs() : now;
  }

  private boolean on(Part part) {
    return !without.contains(part);
  }

  /**
   * Another process of this proxy runs, or has ended. Each has half of the floor then and neither
   * what may be lent, also for as long afterwards as the other may have lent.
   */
  public void beside(double now, boolean another) {
    advance(now);
    beside = another;
    quietUntil = Math.max(quietUntil, now + terms.quietMs());
  }

  /**
   * The budget is another from now on: what the tier may spend in a millisecond, and have saved up.
   */
  public void pace(double now, double spendPerMs, double saved) {
    advance(now);
    perMs = spendPerMs;
    burst = saved;
    tokens = on(Part.CAP) ? Math.min(tokens, burst * held(now) / WHOLE) : tokens;
  }

  /** Spends so much of the budget, if this one's right allows it now. */
  public boolean spend(double now, double amount) {
    advance(now);
    wanted += amount;
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** The units that this one may spend by now. */
  public int units(double now) {
    advance(now);
    return held(now);
  }

  private int held(double now) {
    int units = beside ? floor / 2 : floor;
    if (now >= quietUntil && !beside) {
      units += own;
      for (Loan l : lent) {
        units -= l.fromMs <= now && now < l.endMs ? l.units : 0;
      }
    }
    for (Loan l : borrowed) {
      units += l.fromMs <= now && now < l.endMs ? l.units : 0;
    }
    return Math.max(0, units);
  }

  /**
   * Looks at the clock before anything is spent: what has ended meanwhile gives nothing any more.
   */
  private void advance(double now) {
    double dt = now - lastMs;
    if (dt <= 0) {
      return;
    }
    double unitMs = (beside ? floor / 2 : floor) * dt;
    if (!beside) {
      unitMs += own * Math.max(0, now - Math.max(lastMs, quietUntil));
      for (Loan l : lent) {
        unitMs -= l.units * l.within(Math.max(lastMs, quietUntil), now);
      }
    }
    for (Loan l : borrowed) {
      unitMs += l.units * l.within(lastMs, now);
    }
    tokens += Math.max(0, unitMs) * perMs / WHOLE;
    lastMs = now;
    lent.removeIf(l -> now >= l.endMs);
    borrowed.removeIf(l -> now >= l.endMs);
    asked.removeIf(q -> now >= q.atMs + terms.useMs());
    if (on(Part.CAP)) {
      tokens = Math.min(tokens, burst * held(now) / WHOLE);
    }
    double fade = Math.pow(0.5, dt / USE_MS);
    wanted *= fade;
  }

  /** What a count that halves in {@link #USE_MS} stands for, in units of the budget. */
  private double unitsOf(double count) {
    return perMs <= 0 ? 0 : Math.min(WHOLE, count * Math.log(2) / USE_MS / perMs * WHOLE);
  }

  /** Whether more is wanted of this one than its right allows. */
  public boolean lacks(double now) {
    advance(now);
    return unitsOf(wanted) > 0.9 * held(now);
  }

  /** Units lent to others now. */
  public int lent(double now) {
    return sum(lent, now);
  }

  /** Units that others have lent to this one, of those that it may spend now. */
  public int borrowed(double now) {
    return sum(borrowed, now);
  }

  private static int sum(List<Loan> loans, double now) {
    return loans.stream()
        .filter(l -> l.fromMs <= now && now < l.endMs)
        .mapToInt(l -> l.units)
        .sum();
  }

  // ---- lending

  /**
   * A question to another, where more is wanted than this one may spend, or a loan ends soon that
   * is still used; null: none is due. The caller draws whom to ask, by lot among those that it
   * believes to be there.
   */
  public Message asks(double now, int whom) {
    advance(now);
    if (asked.size() >= MOST_LOANS) {
      return null;
    }
    boolean lacking = lacks(now);
    for (Loan l : borrowed) {
      boolean under = asked.stream().anyMatch(q -> q.renews() == l.nonce);
      if (l.with == whom && l.endMs - now < terms.useMs() / 2 && !under && lacking) {
        asked.add(new Question(++nonces, whom, now, l.nonce));
        return new Message(false, nonces, l.units, l.nonce);
      }
    }
    int lacks = (int) Math.min(own, KEEP * unitsOf(wanted) - held(now));
    if (!lacking
        || lacks <= 0
        || borrowed.size() >= MOST_LOANS
        || borrowed.stream().filter(l -> l.with == whom).count() >= FROM_ONE
        || asked.stream().anyMatch(q -> q.to() == whom)) {
      return null;
    }
    asked.add(new Question(++nonces, whom, now, 0));
    return new Message(false, nonces, lacks, 0);
  }

  /** With whom a loan ends soon that should be renewed; -1: with none. */
  public int renews(double now) {
    for (Loan l : borrowed) {
      if (l.endMs - now < terms.useMs() / 2
          && asked.stream().noneMatch(q -> q.renews() == l.nonce)) {
        return l.with;
      }
    }
    return -1;
  }

  /** Another's question or answer; the answer to send back, null: none. */
  public Message heard(double now, int from, Message m) {
    advance(now);
    if (m.grant()) {
      taken(now, from, m);
      return null;
    }
    if (m.units() <= 0 || m.nonce() == 0 || beside || now < quietUntil) {
      return null;
    }
    for (Loan l : lent) {
      if (l.with == from && (l.nonce == m.nonce() || m.renews() != 0 && l.nonce == m.renews())) {
        // Asked for again, or the answer was lost: given up for longer, and by no more.
        l.endMs = now + terms.lendMs();
        return new Message(true, m.nonce(), l.units, m.renews());
      }
    }
    int out = 0;
    int toThis = 0;
    for (Loan l : lent) {
      out += l.units;
      toThis += l.with == from ? l.units : 0;
    }
    int spare = (int) Math.min(own - out - Math.max(0, KEEP * unitsOf(wanted) - floor), own);
    int units = Math.min(Math.min(m.units(), spare - spare / 4), own / TO_ONE - toThis);
    if (units <= 0 || m.renews() != 0 || lent.size() >= MOST_LOANS) {
      return null;
    }
    double from0 = on(Part.GIVEN_UP_FIRST) ? now : now + terms.lendMs() / 4;
    lent.add(new Loan(from, m.nonce(), units, from0, now + terms.lendMs()));
    tokens = on(Part.CAP) ? Math.min(tokens, burst * held(now) / WHOLE) : tokens;
    return new Message(true, m.nonce(), units, 0);
  }

  private void taken(double now, int from, Message m) {
    Question q =
        asked.stream()
            .filter(a -> a.nonce() == m.nonce() && a.to() == from)
            .findFirst()
            .orElse(null);
    if (q == null || m.units() <= 0 || m.units() > own) {
      return; // not asked, asked by a former life, or too late
    }
    asked.remove(q);
    double end = (on(Part.FROM_THE_QUESTION) ? q.atMs() : now) + terms.useMs();
    for (Iterator<Loan> i = borrowed.iterator(); i.hasNext(); ) {
      Loan l = i.next();
      if (q.renews() != 0 && l.nonce == q.renews() && l.with == from) {
        l.endMs = Math.max(l.endMs, end);
        return;
      }
    }
    if (q.renews() == 0 && now < end) {
      borrowed.add(new Loan(from, m.nonce(), m.units(), now, end));
    }
  }
}
