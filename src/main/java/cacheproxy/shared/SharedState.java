package cacheproxy.shared;

import cacheproxy.routing.RoutingApi;
import cacheproxy.shared.Datagram.Right;
import cacheproxy.shared.Datagram.Total;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * What one proxy shares with its tier: judgements on nodes, what the tier serves, and its right to
 * a part of what a cold node may be sent. Each asks another by lot now and then, and at once who
 * says that there is news; only answers to own questions are believed, so that nothing is taken for
 * newer than the question, be it an hour late, doubled or read after a pause. Who hears nobody goes
 * by its own attempts, and spends its own part.
 *
 * <p>All that is sent comes out of one allowance of bytes. Bounded: so many questions at a time, so
 * many cold nodes; all else follows from the tier and the list. Times in milliseconds of one clock
 * that does not go back; deterministic by its seed.
 */
public final class SharedState implements RoutingApi.Tier {
  /** Where messages and news go, and who is there. */
  public interface Outlet {
    /** Sends to the proxy of this number; may fail without a word. */
    void send(int proxy, byte[] message);

    /** Whether this one is there, by the view of the tier. */
    boolean present(int proxy);

    /** How many are, this one among them. */
    int present();

    /** {@link SharedState#tick} is wanted by then, sooner than it said. */
    void due(double atMs);

    /**
     * The module is to be told, not from within its own call: {@link RoutingApi#onGossipedHealth}.
     */
    void word(int node, boolean out);

    /** What is held of a node by others' word is another; for the log. */
    void changed(double now, int node, boolean out, String cause);
  }

  /**
   * @param tier proxies that the configuration names
   * @param me this one's number
   * @param zone its zone
   * @param tipMultiple a cold node falls at so many times what it can do
   * @param fallMs over so long
   * @param bytesPerS sent to others in all
   * @param judgements whether others' word on nodes counts
   * @param coldRights whether what cold nodes may be sent is the tier's
   */
  public record Terms(
      int tier,
      int me,
      int zone,
      double tipMultiple,
      double fallMs,
      double bytesPerS,
      boolean judgements,
      boolean coldRights) {
    public static final double USUAL_BYTES_PER_S = 2000;

    public Terms {
      if (tier < 2
          || tier >= 0xFFFF
          || me < 0
          || me >= tier
          || !(bytesPerS >= 300)
          || !(fallMs > 0)) {
        throw new IllegalArgumentException(
            "proxy " + me + " of " + tier + ", " + bytesPerS + " bytes/s, fall " + fallMs + " ms");
      }
    }
  }

  /** Parts that can be left out to see what each is for; all are on in use. */
  public enum Part {
    ANSWERS_ALONE,
    NUDGES,
    RIGHTS
  }

  /** The clock is looked at this often at least. */
  static final double LOOK_MS = 250;

  private static final double PERIOD_MS = 500;

  /** An answer that takes longer is not believed: it dates what it says. */
  static final double ANSWER_MS = 1000;

  /** News that come within this go out together; that a node has no place is less urgent. */
  private static final double TOGETHER_MS = 10;

  private static final double PLACES_TOGETHER_MS = 250;

  /** And no more often than this. */
  private static final double NUDGES_APART_MS = 30;

  /** Who is told that there is news. */
  private static final int NUDGED = 3;

  private static final int MOST_QUESTIONS = 16;

  /** One that is asked is not asked again for so long because it nudges. */
  private static final double ASKED_MS = 30;

  /** What answers leave of the allowance for own questions. */
  private static final double ANSWERS_LEAVE = 0.2;

  /** Going through all that another holds: not more often. */
  private static final double CATCH_UP_MS = 5000;

  private static final int NEWEST = 0xFFFF;

  /**
   * Above so many proxies a part of what a cold node may be sent is too small for a request: each
   * goes by its own part.
   */
  public static final int MOST_TIER_OF_RIGHTS = 32;

  /**
   * So many proxies, the same for all by lot, have the right to a cold node: parts that hold a
   * whole request.
   */
  static final int KEEPERS = 8;

  /**
   * Of what the guarantee leaves above the pace, what may be saved up: the rest is for requests
   * that bunch on their way.
   */
  private static final double SAVED = 0.75;

  private static final int MOST_COLD = 256;
  private static final double COLD_FORGET_MS = 20_000;
  private static final int KINDS = 4;

  /** Readings of what the tier serves are over this. */
  static final double WINDOW_MS = 5000;

  /** What is older is not passed on. */
  private static final double FRESH_MS = 2500;

  private record Question(int nonce, int to, double atMs, boolean all) {}

  private static final class ColdNode {
    /** Null: this one is no keeper. */
    final SlowStartQuota rights;

    double askedMs;

    ColdNode(SlowStartQuota rights) {
      this.rights = rights;
    }
  }

  private final Terms terms;
  private final Outlet out;
  private final SplittableRandom lots;
  private final Set<Part> without;
  private final int life;
  private final double startedMs;
  private final HealthVerdicts judgements;
  private final TierCounters[] answers = new TierCounters[KINDS];
  private final Map<Integer, ColdNode> cold = new HashMap<>();
  private final List<Question> questions = new ArrayList<>();
  private final Map<Integer, Integer> told = new HashMap<>();
  private final double[] heardMs;
  private int nonces;
  private double lastMs;
  private double askMs;
  private double nudgeMs = Double.POSITIVE_INFINITY;
  private double nudgedMs = Double.NEGATIVE_INFINITY;
  private double caughtUpMs = Double.NEGATIVE_INFINITY;
  private double allowance;
  private double filledMs;
  private boolean beside;
  private int turn;
  private int asks;
  private long sentMessages;
  private long sentBytes;
  private long unsent;
  private long asked;
  private long spent;
  private long refused;

  /**
   * @param seed new with each start: it tells two lives of one number apart
   */
  public SharedState(
      Terms terms,
      long seed,
      double now,
      Outlet out,
      Set<Part> without,
      HealthVerdicts.Part... withoutOfThem) {
    this.terms = terms;
    this.out = out;
    this.without = without.isEmpty() ? EnumSet.noneOf(Part.class) : EnumSet.copyOf(without);
    lots = new SplittableRandom(seed);
    life = 1 + lots.nextInt(0xFFFE);
    nonces = lots.nextInt();
    startedMs = lastMs = filledMs = now;
    askMs = now + lots.nextDouble() * PERIOD_MS;
    allowance = 2 * terms.bytesPerS();
    heardMs = new double[terms.tier()];
    Arrays.fill(heardMs, Double.NEGATIVE_INFINITY);
    judgements =
        new HealthVerdicts(
            terms.tier(),
            terms.me(),
            terms.zone() & 0x3F,
            lots.nextInt(0x10000),
            new HealthVerdicts.Listener() {
              @Override
              public void changed(
                  double at, int node, boolean isOut, boolean byOther, String cause) {
                out.changed(at, node, isOut, cause);
                if (isOut || byOther) {
                  out.word(node, isOut);
                }
              }
            },
            withoutOfThem);
    for (int k = 0; k < KINDS; k++) {
      answers[k] = new TierCounters(terms.tier(), terms.me(), life, WINDOW_MS, now);
    }
  }

  private boolean on(Part part) {
    return !without.contains(part);
  }

  // ---- what the module says and asks

  @Override
  public void listed(int[] servers, int[] zones) {
    judgements.listed(servers, zones);
  }

  @Override
  public void failed(double now, int server, double sinceMs, double forMs) {
    if (terms.judgements()) {
      news(now, judgements.failed(now, server, sinceMs, forMs));
    }
  }

  @Override
  public void noConnectionSlot(double now, int server, double forMs) {
    if (terms.judgements() && judgements.noPlace(now, server, forMs) != null) {
      nudgeBy(now + PLACES_TOGETHER_MS);
    }
  }

  @Override
  public void answered(double now, int server, double sinceMs, int kind) {
    if (kind >= 0 && kind < KINDS) {
      answers[kind].add(now, 1);
    }
    news(now, judgements.answered(now, server, sinceMs));
  }

  private void news(double now, VerdictEvidence own) {
    if (own != null) {
      nudge(now);
    }
  }

  private void nudge(double now) {
    nudgeBy(Math.max(now + lots.nextDouble() * TOGETHER_MS, nudgedMs + NUDGES_APART_MS));
  }

  private void nudgeBy(double atMs) {
    if (atMs < nudgeMs) {
      nudgeMs = atMs;
      out.due(atMs);
    }
  }

  @Override
  public boolean isEjected(double now, int server, boolean mayTry) {
    return judgements.passOver(now, server, mayTry);
  }

  @Override
  public RoutingApi.QuotaResult spendSlowStartQuota(
      double now, int server, int kind, double capacity, int warm) {
    if (!sharesCold() || kind < 0 || kind >= KINDS || warm == 0) {
      return RoutingApi.QuotaResult.UNKNOWN;
    }
    double perMs = answers[kind].perMs(now, WINDOW_MS) / warm * capacity;
    if (perMs
        <= 0) { // no warm one of its kind has answered anybody lately, or this one has not heard of
      // it yet
      return now - startedMs < WINDOW_MS ? refuse() : RoutingApi.QuotaResult.UNKNOWN;
    }
    if (!on(Part.RIGHTS)) {
      return RoutingApi.QuotaResult.SPENT;
    }
    ColdNode node = coldNode(now, server);
    if (node == null || node.rights == null) {
      return refuse();
    }
    node.rights.pace(now, perMs, savedUp(perMs));
    if (!node.rights.spend(now, 1)) {
      return refuse();
    }
    spent++;
    return RoutingApi.QuotaResult.SPENT;
  }

  /** Its budget, begun now if it is not there yet; null: there are too many. */
  private ColdNode coldNode(double now, int server) {
    ColdNode node = cold.get(server);
    if (node == null && cold.size() < MOST_COLD) {
      node =
          new ColdNode(
              keeper(server, terms.me())
                  ? new SlowStartQuota(rightsOf(), lots.nextInt(), now, startedMs)
                  : null);
      cold.put(server, node);
      if (node.rights != null && beside) {
        node.rights.beside(now, true);
      }
    }
    if (node != null) {
      node.askedMs = now;
    }
    return node;
  }

  private boolean sharesCold() {
    return terms.coldRights() && terms.tier() <= MOST_TIER_OF_RIGHTS;
  }

  private RoutingApi.QuotaResult refuse() {
    refused++;
    return RoutingApi.QuotaResult.REFUSED;
  }

  private SlowStartQuota.Terms rightsOf() {
    return new SlowStartQuota.Terms(Math.min(terms.tier(), KEEPERS), 0.3, 1e-6, 1, 2000, 0.001);
  }

  /**
   * What the tier may have saved up at that pace: one request for each keeper, as far as the
   * guarantee has room for as many, with the slack for chance that it grants (three roots of what
   * it allows, and three).
   */
  private double savedUp(double perMs) {
    double allowed = terms.tipMultiple() * perMs * terms.fallMs();
    double pace = perMs * terms.fallMs();
    double keepers = 1.01 * Math.min(terms.tier(), KEEPERS); // parts are rounded down
    double saved = (allowed - pace) * SAVED;
    return saved >= keepers || allowed + 3 * Math.sqrt(allowed) + 3 < pace + keepers
        ? saved
        : keepers;
  }

  /**
   * Whether this proxy is among those who may send to that node while it is cold: the same answer
   * at all of the tier.
   */
  private boolean keeper(int node, int proxy) {
    long mine = lot(node, proxy);
    int before = 0;
    for (int p = 0; p < terms.tier(); p++) {
      long other = lot(node, p);
      before += other < mine || other == mine && p < proxy ? 1 : 0;
    }
    return before < KEEPERS;
  }

  private static long lot(int node, int proxy) {
    long h = (node * 0x9E3779B97F4A7C15L ^ proxy * 0xC2B2AE3D27D4EB4FL) * 0xFF51AFD7ED558CCDL;
    return (h ^ h >>> 29) & Long.MAX_VALUE;
  }

  // ---- time and messages

  /** When {@link #tick} is next to be called at the latest. */
  public double dueMs() {
    return Math.min(lastMs + LOOK_MS, Math.min(askMs, nudgeMs));
  }

  /** Another process of this proxy runs at the same address, or no longer. */
  public void beside(double now, boolean another) {
    beside = another;
    cold.values()
        .forEach(
            c -> {
              if (c.rights != null) {
                c.rights.beside(now, another);
              }
            });
  }

  public void tick(double now) {
    lastMs = now;
    judgements.alive(out.present());
    judgements.tick(now);
    questions.removeIf(q -> now - q.atMs > ANSWER_MS);
    cold.values().removeIf(c -> now - c.askedMs > COLD_FORGET_MS);
    if (now >= nudgeMs) {
      nudgeMs = Double.POSITIVE_INFINITY;
      nudgedMs = now;
      for (int i = 0; i < NUDGED && on(Part.NUDGES); i++) {
        int whom = partner();
        if (whom >= 0) {
          send(
              now,
              whom,
              new Datagram(
                  Datagram.Type.NUDGE,
                  life,
                  0,
                  judgements.digest(),
                  NEWEST,
                  List.of(),
                  List.of(),
                  List.of()),
              0);
        }
      }
    }
    if (now >= askMs) {
      askMs = now + PERIOD_MS * (0.9 + 0.2 * lots.nextDouble()) / (cold.isEmpty() ? 1 : 2);
      // Every other one by lot: keepers that ask keepers alone hear nothing new of the rest.
      int whom = ++asks % 2 == 0 ? wanted(now) : -1;
      ask(now, whom >= 0 ? whom : partner(), NEWEST);
    }
  }

  private int partner() {
    return byLot(p -> true);
  }

  /** One of those who are there and of whom this holds; -1: none is. */
  private int byLot(IntPredicate of) {
    int chosen = -1;
    int seen = 0;
    for (int p = 0; p < terms.tier(); p++) {
      if (p != terms.me() && out.present(p) && of.test(p) && lots.nextInt(++seen) == 0) {
        chosen = p;
      }
    }
    return chosen;
  }

  /**
   * Whom to ask for a right that this one lacks, by lot among the keepers who are there; -1: it
   * lacks none.
   */
  private int wanted(double now) {
    for (Map.Entry<Integer, ColdNode> e : cold.entrySet()) {
      SlowStartQuota r = e.getValue().rights;
      if (r == null) {
        continue;
      }
      int lender = r.renews(now);
      if (lender >= 0) {
        return lender;
      }
      if (r.lacks(now)) {
        return byLot(p -> keeper(e.getKey(), p));
      }
    }
    return -1;
  }

  private void ask(double now, int whom, int cursor) {
    if (whom < 0
        || questions.size() >= MOST_QUESTIONS
        || !affords(now, Datagram.MOST_BYTES / 2.0, 0)) {
      return;
    }
    List<Right> rights = new ArrayList<>();
    for (Map.Entry<Integer, ColdNode> e : cold.entrySet()) {
      if (rights.size() < Datagram.MOST_RIGHTS
          && e.getValue().rights != null
          && keeper(e.getKey(), whom)) {
        SlowStartQuota.Message m = e.getValue().rights.asks(now, whom);
        if (m != null) {
          rights.add(new Right(e.getKey(), m));
        }
      }
    }
    boolean all = cursor == NEWEST && now - caughtUpMs > CATCH_UP_MS;
    Question q = new Question(++nonces, whom, now, all || cursor != NEWEST);
    questions.add(q);
    asked++;
    send(
        now,
        whom,
        new Datagram(
            Datagram.Type.ASK,
            life,
            q.nonce,
            judgements.digest(),
            cursor,
            List.of(),
            rights,
            List.of()),
        0);
  }

  /** A datagram has come from the address of this proxy. */
  public void heard(double now, int from, byte[] bytes) {
    Datagram d =
        from < 0 || from >= terms.tier() || from == terms.me() ? null : Datagram.parse(bytes);
    if (d == null) {
      return;
    }
    switch (d.type()) {
      case NUDGE -> {
        boolean asked = questions.stream().anyMatch(q -> q.to == from && now - q.atMs < ASKED_MS);
        if (d.digest() != judgements.digest() && !asked) {
          ask(now, from, NEWEST);
        }
      }
      case ASK -> tell(now, from, d);
      case TELL -> {
        Question q =
            questions.stream()
                .filter(a -> a.nonce == d.nonce() && a.to == from)
                .findFirst()
                .orElse(null);
        if (q == null ? !on(Part.ANSWERS_ALONE) : now - q.atMs <= ANSWER_MS) {
          questions.remove(q);
          heardMs[from] = now;
          believe(now, from, d);
          boolean more =
              q != null && q.all && d.cursor() != NEWEST && d.digest() != judgements.digest();
          if (more) {
            caughtUpMs = now;
            ask(now, from, d.cursor());
          }
        }
      }
      default -> {}
    }
  }

  private void tell(double now, int to, Datagram question) {
    List<Right> rights = new ArrayList<>();
    for (Right r : question.rights()) {
      if (r.message().grant() || !judgements.lists(r.node()) || !keeper(r.node(), terms.me())) {
        continue;
      }
      ColdNode node =
          coldNode(
              now,
              r.node()); // where nobody asks this one for that node yet its part is free to lend
      SlowStartQuota.Message grant = node == null ? null : node.rights.heard(now, to, r.message());
      if (grant != null) {
        rights.add(new Right(r.node(), grant));
      }
    }
    List<VerdictEvidence> pieces = new ArrayList<>();
    int next = NEWEST;
    if (question.digest() != judgements.digest()) {
      int room = Datagram.room(rights.size(), KINDS);
      List<VerdictEvidence> held = judgements.held(now);
      if (question.cursor() == NEWEST) {
        List<VerdictEvidence> by = new ArrayList<>(held);
        by.sort(
            Comparator.<VerdictEvidence>comparingInt(e -> told.getOrDefault(e.mark(), 0))
                .thenComparing(Comparator.comparingDouble(VerdictEvidence::atMs).reversed()));
        pieces = by.subList(0, Math.min(room, by.size()));
        next = by.size() > room ? 0 : NEWEST;
      } else if (question.cursor() < held.size()) {
        pieces = held.subList(question.cursor(), Math.min(held.size(), question.cursor() + room));
        next = question.cursor() + room < held.size() ? question.cursor() + room : NEWEST;
      }
      if (told.size() > 4 * held.size() + 64) {
        told.clear();
      }
      pieces.forEach(e -> told.merge(e.mark(), 1, Integer::sum));
    }
    List<VerdictEvidence> aged =
        pieces.stream()
            .map(
                e ->
                    new VerdictEvidence(
                        e.node(),
                        e.kind(),
                        e.witness(),
                        e.zone(),
                        e.serial(),
                        e.atMs() - now,
                        e.untilMs() - now))
            .toList();
    List<Total> totals = totals(now, to, Datagram.totals(aged.size(), rights.size()));
    send(
        now,
        to,
        new Datagram(
            Datagram.Type.TELL,
            life,
            question.nonce(),
            judgements.digest(),
            next,
            aged,
            rights,
            totals),
        ANSWERS_LEAVE);
  }

  /**
   * Own totals, and in turn those of others of whom there has been word lately, as far as there is
   * room.
   */
  private List<Total> totals(double now, int asker, int room) {
    List<Total> all = new ArrayList<>();
    for (int k = 0; k < KINDS && sharesCold(); k++) {
      TierCounters.Total own = answers[k].latest(terms.me());
      if (own.count() > 0) {
        all.add(new Total(k, own, 0));
      }
    }
    for (int i = 0; i < terms.tier() && all.size() < room && sharesCold(); i++) {
      turn = (turn + 1) % terms.tier();
      for (int k = 0; k < KINDS && turn != asker && turn != terms.me(); k++) {
        double age = now - answers[k].heardOf(turn);
        if (age < FRESH_MS && all.size() < room) {
          all.add(new Total(k, answers[k].latest(turn), age));
        }
      }
    }
    return all;
  }

  private void believe(double now, int from, Datagram d) {
    boolean news = false;
    for (VerdictEvidence e : d.evidence()) {
      news |=
          terms.judgements()
              && judgements.heard(
                  now,
                  new VerdictEvidence(
                      e.node(),
                      e.kind(),
                      e.witness(),
                      e.zone(),
                      e.serial(),
                      now + e.atMs(),
                      now + e.untilMs()));
    }
    if (news) {
      nudge(now);
    }
    for (Total t : d.totals()) {
      if (t.kind() >= 0 && t.kind() < KINDS) {
        answers[t.kind()].merge(now - t.ageMs(), t.total());
      }
    }
    for (Right r : d.rights()) {
      ColdNode node = cold.get(r.node());
      if (node != null && node.rights != null && r.message().grant()) {
        node.rights.heard(now, from, r.message());
      }
    }
  }

  private boolean affords(double now, double bytes, double leave) {
    double most = 2 * terms.bytesPerS();
    allowance = Math.min(most, allowance + (now - filledMs) * terms.bytesPerS() / 1000);
    filledMs = now;
    return allowance - bytes >= leave * most;
  }

  private void send(double now, int to, Datagram d, double leave) {
    byte[] bytes = d.bytes();
    if (!affords(now, bytes.length, leave)) {
      unsent++;
      return;
    }
    allowance -= bytes.length;
    sentMessages++;
    sentBytes += bytes.length;
    out.send(to, bytes);
  }

  // ---- for who looks

  /** One cold node's budget as this proxy has it. */
  public record ColdView(int node, boolean keeper, double part, double lent, double borrowed) {}

  /** What this proxy believes, holds and did not hear, at one moment. */
  public record View(
      List<VerdictEvidence> evidence,
      int outs,
      List<ColdView> cold,
      double[] heardMs,
      double[] answersPerS,
      List<Integer> unheard,
      long learned,
      long dropped,
      long asked,
      long sentMessages,
      long sentBytes,
      long unsent,
      long spent,
      long refused) {}

  public View view(double now) {
    List<ColdView> budgets = new ArrayList<>();
    cold.forEach(
        (node, c) ->
            budgets.add(
                c.rights == null
                    ? new ColdView(node, false, 0, 0, 0)
                    : new ColdView(
                        node,
                        true,
                        c.rights.units(now) / (double) SlowStartQuota.WHOLE,
                        c.rights.lent(now) / (double) SlowStartQuota.WHOLE,
                        c.rights.borrowed(now) / (double) SlowStartQuota.WHOLE)));
    double[] heard = new double[terms.tier()];
    List<Integer> unheard = new ArrayList<>();
    for (int p = 0; p < heard.length; p++) {
      heard[p] = now - heardMs[p];
      if (judgements.unheard(now, p)) {
        unheard.add(p);
      }
    }
    double[] perS = new double[KINDS];
    for (int k = 0; k < KINDS; k++) {
      perS[k] = 1000 * answers[k].perMs(now, WINDOW_MS);
    }
    return new View(
        judgements.held(now),
        judgements.outs(),
        budgets,
        heard,
        perS,
        unheard,
        judgements.learned(),
        judgements.dropped(),
        asked,
        sentMessages,
        sentBytes,
        unsent,
        spent,
        refused);
  }

  /** Whether it is out by others' word. */
  public boolean out(int node) {
    return judgements.out(node);
  }
}
