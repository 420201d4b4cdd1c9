package cacheproxy.membership;

import cacheproxy.membership.Message.Entry;
import cacheproxy.membership.Message.Kind;
import cacheproxy.membership.Message.News;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Who of the tier is there. One member is asked in each period, drawn without repetition, first
 * straight and then through others; who answers on no way is accused, has time to refute that as a
 * function of the tier's size, less with each independent confirmation, and is dead only by the own
 * clock of each who judges. Whoever has heard an accused since, be it the accused itself or a
 * witness, raises its incarnation, which ends the accusation. A judge that was paused, is late or
 * hears nobody accuses none until it has proven its ears by an answer to a question of its own.
 *
 * <p>Bounded: arrays of the tier's size, so many questions at a time, and all that is sent comes
 * out of one allowance of bytes, whatever comes in. Times in milliseconds of one clock that does
 * not go back; deterministic by its seed.
 */
public final class Membership {
  /** Where messages and events go. */
  public interface Outlet {
    /** Sends to the member of this number; may fail without a word. */
    void send(int member, byte[] message);

    /** A member's state in this view is another; for the log and for who looks. */
    void changed(Event event);
  }

  /**
   * @param cause why, in a few words: who accused, who confirmed, what refuted
   */
  public record Event(
      double atMs, int member, State from, State to, int incarnation, String cause) {}

  /** Parts that can be left out to see what each is for; all are on in use. */
  public enum Part {
    INDIRECT,
    CONFIRMATIONS,
    WITNESSES,
    DOUBT,
    DEAD_ASKED,
    HEALTH,
    LIVES,
    TIERS
  }

  /**
   * How many are asked to ask in one's place, and told at once of a refutation, a leave or a start.
   */
  static final int HELPERS = 3;

  /**
   * One question in so many goes to one that is believed not to be there: so halves find each other
   * again.
   */
  static final int ASK_AWAY = 4;

  static final int MOST_HEALTH = 4;
  private static final int MOST_PROBES = 8;
  private static final int MOST_ERRANDS = 16;

  /** What answers to others leave of the allowance for the own questions. */
  private static final double ANSWERS_LEAVE = 0.3;

  /** Below this part of the allowance a message goes without a part of the view. */
  private static final double LEAN = 0.5;

  private static final int DELAYS = 15;
  private static final double FAILING_WEIGHT = 1 / 16.0;
  private static final double FALSE_A_PERIOD = 0.02;
  private static final int MOST_ROUNDS = 4;

  private final int me;
  private final Timing timing;
  private final Outlet out;
  private final SplittableRandom lots;
  private final java.util.Set<Part> without;
  private final Members members;
  private final int life;
  private final int tier;

  private State own = State.STARTING;
  private int incarnation;

  /** Whether anybody has said what it holds of this member's former life. */
  private boolean placed;

  private int sequence;
  private int nonces;

  private final List<Probe> probes = new ArrayList<>();
  private final ArrayDeque<Errand> errands = new ArrayDeque<>();
  private final int[] order;
  private int next;
  private int turn;
  private double askMs;
  private int cursor;
  private int greeted;

  private final int[] tellings;
  private int untold;

  private double lastMs;
  private double freshMs;

  /** Part of the questions to present members that had no answer on any way. */
  private double failing;

  private boolean doubtful;

  /** Since when another process of this member runs beside this one; NaN: none does. */
  private double besideMs = Double.NaN;

  private double doubtSinceMs;
  private int health;
  private double allowance;
  private double filledMs;
  private long sentMessages;
  private long sentBytes;
  private int accusations;
  private final double[] delays = new double[DELAYS];
  private int measured;

  /** A question under way. */
  private static final class Probe {
    final int member;
    final int nonce;
    final double askedMs;
    final int round;
    boolean indirect;

    Probe(int member, int nonce, double askedMs, int round) {
      this.member = member;
      this.nonce = nonce;
      this.askedMs = askedMs;
      this.round = round;
    }
  }

  /** A question asked on another's behalf. */
  private record Errand(int nonce, int subject, int by, int theirNonce, double atMs) {}

  /**
   * @param tier how many members there are, this one among them
   * @param me its number, from 0
   * @param seed new with each start: it tells two lives of one number apart
   */
  public Membership(
      int tier, int me, Timing timing, long seed, double now, Outlet out, Part... without) {
    if (tier < 1 || tier >= 0xFFFF || me < 0 || me >= tier) {
      throw new IllegalArgumentException("member " + me + " of a tier of " + tier);
    }
    this.tier = tier;
    this.me = me;
    this.timing = timing;
    this.out = out;
    this.without =
        without.length == 0
            ? java.util.EnumSet.noneOf(Part.class)
            : java.util.EnumSet.copyOf(Arrays.asList(without));
    lots = new SplittableRandom(seed);
    life = 1 + lots.nextInt(0xFFFE);
    nonces = lots.nextInt();
    members = new Members(tier, now);
    tellings = new int[tier];
    order = new int[tier];
    for (int m = 0; m < tier; m++) {
      order[m] = m;
    }
    next = tier;
    lastMs = freshMs = filledMs = doubtSinceMs = now;
    askMs = now + lots.nextDouble() * timing.periodMs() / 4;
    allowance = 2 * timing.bytesPerS();
    doubtful = on(Part.DOUBT) && tier > 1; // nothing is proven yet
  }

  private boolean on(Part part) {
    return !without.contains(part);
  }

  // ---- what the caller has to say

  /**
   * When {@link #tick} is next to be called at the latest; infinite where there is nobody to ask.
   */
  public double dueMs() {
    return tier == 1 ? Double.POSITIVE_INFINITY : Math.min(lastMs + Timing.LOOK_MS, askMs);
  }

  /** This one takes clients now. */
  public void serving(double now) {
    awake(now);
    if (own == State.STARTING) {
      own = State.ALIVE;
      announce(now);
    }
  }

  /** This one was told to end, and nobody takes its place. */
  public void leaving(double now) {
    awake(now);
    if (own != State.LEAVING) {
      own = State.LEAVING;
      announce(now);
    }
  }

  /**
   * Another process of this member runs at the same address, or no longer. What others send comes
   * to either, so each hears half of the answers to its questions: until one is gone, neither
   * accuses or judges.
   */
  public void beside(double now, boolean another) {
    if (another == Double.isNaN(besideMs)) {
      if (!another) {
        members.missed(now - besideMs, now);
      }
      besideMs = another ? now : Double.NaN;
    }
  }

  /** Looks at the clock: asks, gives up, judges. */
  public void tick(double now) {
    awake(now);
    if (tier == 1) {
      return;
    }
    for (int p = probes.size() - 1; p >= 0; p--) {
      Probe probe = probes.get(p);
      double waited = now - probe.askedMs;
      if (waited >= timing.probeMs() * (1 + health)) {
        probes.remove(p);
        failed(now, probe);
      } else if (!probe.indirect && waited >= timing.directMs() * (1 + health)) {
        probe.indirect = true;
        throughOthers(now, probe);
      }
    }
    if (members.pending() > 0) {
      int there = 1 + members.count(State.ALIVE, State.STARTING, State.SUSPECT);
      for (int m = 0; m < tier; m++) {
        judge(now, m, there);
      }
    }
    for (;
        greeted < Math.min(HELPERS, tier - 1);
        greeted++) { // who starts asks some by lot who is there
      ask(now, whom(), 1);
    }
    if (now >= askMs) {
      askMs = now + timing.periodMs() * (1 + 0.5 * health) * (0.9 + 0.2 * lots.nextDouble());
      int whom = whom();
      if (whom >= 0) {
        ask(now, whom, 1);
      }
    }
  }

  /** A datagram has come from the address of this member. */
  public void heard(double now, int from, byte[] bytes) {
    awake(now);
    Message m = Message.parse(bytes);
    if (m == null || from < 0 || from >= tier || from == me) {
      return;
    }
    boolean proven = m.kind() == Kind.ACK && answered(now, from, m.nonce());
    boolean fresh = members.fresh(from, m.life(), m.sequence()) || proven || !on(Part.LIVES);
    if (fresh && !doubtful) {
      members.heard(from, now);
      freshMs = now;
    }
    if (fresh) {
      saidOfItself(now, from, m.own());
    }
    if (m.held().state() != State.UNKNOWN) {
      saidOfMe(now, from, m.held(), m.doubtful());
    }
    // One whose configuration names another number of members numbers others otherwise; it is heard
    // itself all the same.
    boolean same = m.tier() == tier || !on(Part.TIERS);
    for (News n : same ? m.news() : List.<News>of()) {
      merge(now, n.member(), n.entry(), n.accuser() >= 0 ? n.accuser() : -1, from, m.doubtful());
    }
    for (int i = 0; same && i < m.part().size() && m.from() + i < tier; i++) {
      merge(now, m.from() + i, m.part().get(i), -1, from, m.doubtful());
    }
    switch (m.kind()) {
      case PING -> send(now, from, Kind.ACK, m.nonce(), -1, ANSWERS_LEAVE, false);
      case ASK -> errand(now, from, m);
      case TOLD -> throughOther(m);
      default -> {}
    }
  }

  // ---- the own ears

  /**
   * Sees whether this process was away: its timers and what it has read meanwhile are old news
   * then.
   */
  private void awake(double now) {
    double gap = now - lastMs - Timing.LOOK_MS;
    lastMs = now;
    if (gap > timing.lateMs() && on(Part.DOUBT)) {
      members.missed(gap, now);
      probes.clear();
      errands.clear();
      doubt(now);
      askMs = now;
    } else if (!doubtful && on(Part.DOUBT) && now - freshMs > Timing.EARS_MS && tier > 1) {
      doubt(now);
    }
  }

  private void doubt(double now) {
    if (!doubtful) {
      doubtful = true;
      doubtSinceMs = now;
    }
    worse();
  }

  private void worse() {
    health = on(Part.HEALTH) ? Math.min(MOST_HEALTH, health + 1) : 0;
  }

  /** An answer to a question that was asked since is what proves the ears. */
  private boolean answered(double now, int from, int nonce) {
    for (int p = 0; p < probes.size(); p++) {
      Probe probe = probes.get(p);
      if (probe.nonce == nonce && probe.member == from) {
        probes.remove(p);
        delays[measured++ % DELAYS] = now - probe.askedMs;
        tried(probe, false);
        if (doubtful && probe.askedMs >= doubtSinceMs) {
          doubtful = false;
          // What it held against others is from before: each gets its whole time again.
          members.missed(now - doubtSinceMs, now);
        }
        health = Math.max(0, health - 1);
        return true;
      }
    }
    for (Errand e : errands) {
      if (e.nonce == nonce && e.subject == from) {
        errands.remove(e);
        send(now, e.by, Kind.TOLD, e.theirNonce, from, ANSWERS_LEAVE, true);
        return true;
      }
    }
    return false;
  }

  // ---- asking

  private void ask(double now, int whom, int round) {
    if (probes.size() < MOST_PROBES) {
      Probe probe = new Probe(whom, ++nonces, now, round);
      probes.add(probe);
      send(now, whom, Kind.PING, probe.nonce, -1, 0, false);
    }
  }

  /**
   * Who is next: without ears one that was heard last, now and then one that is away, else the next
   * of the order.
   */
  private int whom() {
    turn++;
    if (doubtful && turn % 2 == 0) {
      int last = -1;
      for (int m = 0; m < tier; m++) {
        if (m != me
            && members.heardMs(m) > Double.NEGATIVE_INFINITY
            && (last < 0 || members.heardMs(m) > members.heardMs(last))) {
          last = m;
        }
      }
      if (last >= 0) {
        return last;
      }
    }
    if (turn % ASK_AWAY == 0 && on(Part.DEAD_ASKED)) {
      int away = byLot(true);
      if (away >= 0) {
        return away;
      }
    }
    for (int tries = 0; tries < 2 * tier; tries++) {
      if (next == tier) {
        next = 0;
        for (int i = tier - 1; i > 0; i--) { // an own order, anew each time round
          int j = lots.nextInt(i + 1);
          int held = order[i];
          order[i] = order[j];
          order[j] = held;
        }
      }
      int m = order[next++];
      if (m != me && !asleep(m)) {
        return m;
      }
    }
    return byLot(true);
  }

  /** Not there by what is held, or never heard of by anybody and silent when it was asked. */
  private boolean asleep(int m) {
    return members.state(m).away() || members.state(m) == State.UNKNOWN && members.unanswered(m);
  }

  /** One of those who are asleep, or of those who are there, by lot; -1: there is none. */
  private int byLot(boolean asleep) {
    int chosen = -1;
    int seen = 0;
    for (int m = 0; m < tier; m++) {
      if (m != me
          && asleep(m) == asleep
          && (asleep || members.state(m).present())
          && lots.nextInt(++seen) == 0) {
        chosen = m;
      }
    }
    return chosen;
  }

  private void throughOthers(double now, Probe probe) {
    if (!on(Part.INDIRECT) || asleep(probe.member)) {
      return;
    }
    send(now, probe.member, Kind.PING, probe.nonce, -1, 0, true);
    for (int h = 0; h < HELPERS; h++) {
      int helper = byLot(false);
      if (helper >= 0 && helper != probe.member) {
        send(now, helper, Kind.ASK, probe.nonce, probe.member, ANSWERS_LEAVE, true);
      }
    }
  }

  private void errand(double now, int by, Message m) {
    if (m.subject() < 0 || m.subject() >= tier || m.subject() == me || doubtful) {
      return;
    }
    if (errands.size() == MOST_ERRANDS) {
      errands.poll();
    }
    Errand errand = new Errand(++nonces, m.subject(), by, m.nonce(), now);
    errands.add(errand);
    send(now, m.subject(), Kind.PING, errand.nonce, -1, ANSWERS_LEAVE, true);
  }

  /** Others hear it, and the own question had no answer: two facts about two pairs. */
  private void throughOther(Message m) {
    for (int p = 0; p < probes.size(); p++) {
      if (probes.get(p).nonce == m.nonce() && probes.get(p).member == m.subject()) {
        members.unanswered(probes.get(p).member, true);
        tried(probes.get(p), false);
        probes.remove(p);
        health = Math.max(0, health - 1);
        return;
      }
    }
  }

  private void failed(double now, Probe probe) {
    int m = probe.member;
    boolean ears =
        !doubtful && Double.isNaN(besideMs) && (!on(Part.DOUBT) || freshMs > probe.askedMs);
    if (members.heardMs(m) > probe.askedMs) {
      members.unanswered(m, members.state(m).present());
      return; // it is heard, whether or not it hears
    }
    if (!ears) {
      worse();
      return;
    }
    boolean enough = probe.round >= rounds();
    tried(probe, true);
    if (members.state(m).present() && !enough) {
      ask(now, m, probe.round + 1);
      return;
    }
    members.unanswered(m, true);
    State s = members.state(m);
    if (s == State.ALIVE || s == State.STARTING || s == State.SUSPECT) {
      accuse(now, m, members.incarnation(m), me, "no answer from it, nor through others");
    }
  }

  private void tried(Probe probe, boolean failed) {
    if (probe.round == 1 && members.state(probe.member).present()) {
      failing += ((failed ? 1 : 0) - failing) * FAILING_WEIGHT;
    }
  }

  /**
   * How many questions in a row have to fail before one accuses: so many that the whole tier,
   * asking as it does, would accuse one that is there less than {@link #FALSE_A_PERIOD} times a
   * period by the wire alone. What is told of each accusation has to fit into what all may send.
   */
  private int rounds() {
    if (!on(Part.HEALTH) || failing < 1e-6) {
      return 1;
    }
    double wanted = Math.log(FALSE_A_PERIOD / tier) / Math.log(Math.min(0.99, failing));
    return (int) Math.max(1, Math.min(MOST_ROUNDS, Math.ceil(wanted)));
  }

  // ---- judging

  private void accuse(double now, int m, int at, int accuser, String cause) {
    if (members.state(m) != State.SUSPECT || members.incarnation(m) != at) {
      move(now, m, State.SUSPECT, at, cause);
    }
    if (accuser >= 0 && members.accuse(m, accuser)) {
      spread(m);
    }
    accusations += accuser == me ? 1 : 0;
    if (accuser == me) { // first of all the one it is about
      send(now, m, Kind.WORD, 0, -1, ANSWERS_LEAVE, true);
    }
  }

  private void judge(double now, int m, int there) {
    if (members.state(m) == State.LEAVING && now - members.sinceMs(m) >= Timing.LEAVE_MS) {
      move(now, m, State.GONE, members.incarnation(m), "left as it said");
    }
    if (members.state(m) != State.SUSPECT || doubtful || !Double.isNaN(besideMs)) {
      return;
    }
    // Where few are left, no more can confirm than are there.
    int most = on(Part.CONFIRMATIONS) ? Math.min(Members.CONFIRMATIONS, there - 2) : 0;
    double time =
        timing.suspicionMs(tier, Math.max(0, members.accused(m) - 1), most) * (1 + 0.5 * health);
    if (now - members.beganMs(m) >= time) {
      StringBuilder by =
          new StringBuilder(
              "not refuted in " + Math.round(now - members.beganMs(m)) + " ms, accused by");
      for (int a = 0; a <= Members.CONFIRMATIONS && members.accuser(m, a) >= 0; a++) {
        by.append(' ').append(members.accuser(m, a));
      }
      move(now, m, State.DEAD, members.incarnation(m), by.toString());
      spread(m);
    }
  }

  /** A member's word on itself, first-hand and fresh. */
  private void saidOfItself(double now, int m, Entry said) {
    State s = said.state();
    if (s != State.STARTING && s != State.ALIVE && s != State.LEAVING) {
      return; // no state that one can say of itself
    }
    Entry held = members.entry(m);
    if (Incarnation.newer(said.incarnation(), held.incarnation())
        || held.state() == State.UNKNOWN) {
      move(now, m, s, said.incarnation(), "says so");
    } else if (held.state() == s || held.state() == State.ALIVE && s == State.STARTING) {
      return;
    } else if (held.state() == State.STARTING || s == State.LEAVING) {
      move(now, m, s, held.incarnation(), "says so");
    } else if (on(Part.WITNESSES) && !doubtful) {
      move(
          now,
          m,
          s,
          Incarnation.next(held.incarnation()),
          held.state().accusation() ? "heard since" : "is back");
    } else {
      return;
    }
    spread(m);
  }

  /**
   * What another holds of this one: the way to a number above all that is held, and the accused's
   * own answer.
   */
  private void saidOfMe(double now, int from, Entry held, boolean doubtful) {
    int at = held.incarnation();
    boolean behind = Incarnation.newer(incarnation, at);
    if (!placed) {
      placed = true;
      incarnation = behind ? incarnation : Incarnation.next(at);
      announce(now);
    } else if (behind) {
      return;
    } else if (held.state().accusation() && doubtful) {
      return;
    } else if (held.state().accusation()
        || held.state() != own && (held.state().away() || held.state() == State.LEAVING)) {
      incarnation = Incarnation.next(at);
      if (held.state() == State.SUSPECT) {
        worse();
      }
      if (from >= 0) {
        send(now, from, Kind.WORD, 0, -1, ANSWERS_LEAVE, true);
      }
      announce(now);
    } else {
      incarnation = at; // raised by a witness, or by another process of this proxy
    }
  }

  /** What others say of a member. */
  private void merge(double now, int m, Entry said, int accuser, int from, boolean doubtful) {
    State s = said.state();
    if (m < 0 || m >= tier || s == State.UNKNOWN) {
      return;
    }
    if (m == me) {
      saidOfMe(now, -1, said, doubtful);
      return;
    }
    if (m == from || s.accusation() && doubtful) {
      return; // its own word stands at the head; old news of one that was away
    }
    State held = members.state(m);
    if (s.accusation() && held == State.SUSPECT && members.incarnation(m) == said.incarnation()) {
      int who = accuser >= 0 ? accuser : s == State.DEAD ? from : -1;
      if (who >= 0 && who != m && members.accuse(m, who)) {
        spread(m);
      }
      return;
    }
    if (!members.outweighed(m, said) && held != State.UNKNOWN) {
      return;
    }
    if (s == State.SUSPECT && held.away() && said.incarnation() == members.incarnation(m)) {
      return;
    }
    if (!s.accusation() || held == State.UNKNOWN && s == State.DEAD || held.away()) {
      move(now, m, s, said.incarnation(), "told by " + from);
      spread(m);
      return;
    }
    double since = now - members.heardMs(m);
    if (since <= timing.probeMs() && on(Part.WITNESSES) && !this.doubtful) {
      move(
          now,
          m,
          State.ALIVE,
          Incarnation.next(said.incarnation()),
          "heard " + Math.round(since) + " ms before");
      spread(m);
      return;
    }
    accuse(
        now,
        m,
        said.incarnation(),
        accuser >= 0 && accuser != m ? accuser : s == State.DEAD ? from : -1,
        "told by " + from);
    spread(m);
    if (since <= Timing.KNOWS_MS && on(Part.WITNESSES)) {
      ask(now, m, 1);
    }
  }

  private void move(double now, int m, State to, int at, String cause) {
    State held = members.state(m);
    boolean mine = held == State.SUSPECT && to != State.DEAD && members.accuser(m, 0) == me;
    members.set(m, to, at, now);
    if (to != State.DEAD && mine) {
      worse(); // it accused one that is there
    }
    if (held != to) {
      out.changed(new Event(now, m, held, to, at, cause));
    }
  }

  // ---- telling

  private void spread(int m) {
    untold += tellings[m] == 0 ? 1 : 0;
    tellings[m] = 3 * (33 - Integer.numberOfLeadingZeros(tier));
  }

  /**
   * A change of the own word goes to some at once, and with all messages from here on at their
   * head.
   */
  private void announce(double now) {
    for (int h = 0; h < HELPERS; h++) {
      int whom = byLot(false);
      if (whom < 0) {
        whom = tier == 1 ? -1 : byLot(true);
      }
      if (whom >= 0) {
        send(now, whom, Kind.WORD, 0, -1, ANSWERS_LEAVE, true);
      }
    }
  }

  /**
   * What was told least often first, whatever else waits; each so often as lets it reach all by
   * far.
   */
  private List<News> newest(int most) {
    List<News> told = new ArrayList<>();
    int[] chosen = new int[Math.min(most, untold)];
    int found = 0;
    for (int i = 0, m = lots.nextInt(tier);
        i < tier && untold > 0;
        i++, m = m + 1 == tier ? 0 : m + 1) {
      if (tellings[m] == 0
          || found == chosen.length && tellings[chosen[found - 1]] >= tellings[m]) {
        continue;
      }
      int at = found < chosen.length ? found++ : found - 1;
      for (; at > 0 && tellings[chosen[at - 1]] < tellings[m]; at--) {
        chosen[at] = chosen[at - 1];
      }
      chosen[at] = m;
    }
    for (int m : chosen) {
      int accuser = -1;
      for (int a = Members.CONFIRMATIONS;
          a >= 0 && accuser < 0;
          a--) { // the last to join, or this one itself
        accuser = members.accuser(m, a);
      }
      for (int a = 0; a <= Members.CONFIRMATIONS; a++) {
        accuser = members.accuser(m, a) == me ? me : accuser;
      }
      told.add(new News(m, members.entry(m), accuser));
      untold -= --tellings[m] == 0 ? 1 : 0;
    }
    return told;
  }

  private void send(
      double now, int to, Kind kind, int nonce, int subject, double leave, boolean lean) {
    double most = 2 * timing.bytesPerS();
    allowance = Math.min(most, allowance + (now - filledMs) * timing.bytesPerS() / 1000);
    filledMs = now;
    if (allowance < leave * most + (lean ? 64 : Message.MOST_BYTES)) {
      return;
    }
    List<News> told = newest(lean ? Message.MOST_NEWS / 2 : Message.news(tier));
    int entries =
        lean || allowance < LEAN * most
            ? 0
            : Math.min(Math.min(255, tier), Message.room(told.size()));
    cursor = cursor >= tier ? 0 : cursor;
    List<Entry> part = new ArrayList<>(entries);
    for (int m = cursor; m < tier && part.size() < entries; m++) {
      part.add(m == me ? new Entry(own, incarnation) : members.entry(m));
    }
    byte[] bytes =
        new Message(
                kind,
                life,
                ++sequence,
                new Entry(own, incarnation),
                members.entry(to),
                doubtful,
                nonce,
                subject,
                tier,
                told,
                cursor,
                part)
            .bytes();
    cursor += part.size();
    allowance -= bytes.length;
    sentMessages++;
    sentBytes += bytes.length;
    out.send(to, bytes);
  }

  // ---- seen from outside

  /**
   * How many take clients by this view, this one among them if it does; suspects are believed to.
   */
  public int alive() {
    return members.count(State.ALIVE, State.SUSPECT) + (own == State.ALIVE ? 1 : 0);
  }

  /** Whether that one is believed to be there, with or without doubt. */
  public boolean present(int m) {
    return m != me && m >= 0 && m < tier && members.state(m).present();
  }

  /** Whether another takes clients. */
  public boolean anotherServes() {
    return members.count(State.ALIVE) > 0;
  }

  public boolean doubtful() {
    return doubtful;
  }

  /** A member's state in this view; this one's own word on itself. */
  public State state(int m) {
    return m == me ? own : members.state(m);
  }

  public int incarnation() {
    return incarnation;
  }

  /** There and back, the median of the last answers; 0: none has come. */
  public double delayMs() {
    int n = Math.min(measured, DELAYS);
    double[] sorted = Arrays.copyOf(delays, n);
    Arrays.sort(sorted);
    return n == 0 ? 0 : sorted[n / 2];
  }

  /** How often this one has accused others by its own judgement. */
  public int accusations() {
    return accusations;
  }

  public long sentBytes() {
    return sentBytes;
  }

  public View view(double now) {
    List<View.Member> all = new ArrayList<>(tier);
    for (int m = 0; m < tier; m++) {
      List<Integer> by = new ArrayList<>();
      for (int a = 0; a <= Members.CONFIRMATIONS && members.accuser(m, a) >= 0; a++) {
        by.add(members.accuser(m, a));
      }
      all.add(
          m == me
              ? new View.Member(own, incarnation, now - members.sinceMs(m), 0, true, by)
              : new View.Member(
                  members.state(m),
                  members.incarnation(m),
                  now - members.sinceMs(m),
                  now - members.heardMs(m),
                  !members.unanswered(m),
                  by));
    }
    return new View(me, doubtful, health, delayMs(), all, sentMessages, sentBytes);
  }
}
