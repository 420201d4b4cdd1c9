package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Who is shown out, in virtual time. */
class ConnectionAdmissionPolicyTest {
  private static final int PLACES = 192;
  private static final int ROOM = 128;
  private static final int SPARE = 16;

  private static final class Client implements ConnectionAdmissionPolicy.Guest {
    boolean busy;
    boolean useless;
    double sinceMs;
    long answered;
    double leavesMs = Double.MAX_VALUE;
    double gapMs;
    double behindMs;

    @Override
    public double behindMs(double nowMs) {
      return behindMs;
    }

    @Override
    public double gapMs() {
      return gapMs;
    }

    @Override
    public boolean busy() {
      return busy;
    }

    @Override
    public boolean useless() {
      return useless;
    }

    @Override
    public double sinceMs() {
      return sinceMs;
    }

    @Override
    public long answered() {
      return answered;
    }
  }

  private final ConnectionAdmissionPolicy rules =
      new ConnectionAdmissionPolicy(PLACES, ROOM, SPARE, true);
  private final List<Client> in = new ArrayList<>();

  private Client idle(double since, long answered) {
    Client c = new Client();
    c.sinceMs = since;
    c.answered = answered;
    in.add(c);
    return c;
  }

  private List<Client> clear(double now) {
    List<Client> out = new ArrayList<>();
    for (Client c; (c = rules.next(now, in, 0)) != null; ) {
      in.remove(c);
      out.add(c);
    }
    return out;
  }

  @Test
  void whereNobodyComesAnewTheIdleStayForAsLongAsTheyLike() {
    for (int i = 0; i < ROOM; i++) {
      idle(0, 1);
    }
    assertThat(clear(3_600_000)).isEmpty();
  }

  /**
   * The clients of the incident: each asks once and keeps its connection for 2 s; together they
   * hold a third of the descriptors at most, and who finds that full has no connection. Their
   * number at the door is then that of those who get in, not of those who want to.
   */
  @Test
  void clientsThatAskOnceAndStayGetInAtTheRateAtWhichTheyCome() {
    assertThat(share(260, true)).isGreaterThan(0.97);
    assertThat(share(260, false)).isLessThan(0.35);
  }

  private double share(int perSecond, boolean ruled) {
    in.clear();
    ConnectionAdmissionPolicy door = new ConnectionAdmissionPolicy(PLACES, ROOM, SPARE, true);
    Random random = new Random(274);
    int wanted = 0;
    int entered = 0;
    List<Client> open = new ArrayList<>();
    for (double now = 0; now < 20_000; now++) {
      double time = now;
      open.removeIf(c -> c.leavesMs <= time);
      for (Client c : open) {
        if (c.busy && now - c.sinceMs >= 40) {
          c.busy = false;
          c.sinceMs = now;
          c.leavesMs = now + 2000;
        }
      }
      if (random.nextDouble() < perSecond / 1000.0) {
        wanted++;
        if (open.size() < ROOM) {
          entered++;
          Client c = new Client();
          c.busy = true;
          c.sinceMs = now;
          c.answered = 1;
          open.add(c);
          door.newcomer(now);
        }
      }
      if (now % 50 == 0 && ruled) {
        for (Client c; (c = door.next(now, open, 0)) != null; ) {
          assertThat(c.busy).isFalse();
          open.remove(c);
        }
      }
    }
    return (double) entered / wanted;
  }

  /**
   * Little's law: what stands idle is the rate of coming times the stay, so the stay is room over
   * rate.
   */
  @Test
  void theStayOfTheIdleIsRoomOverRate() {
    for (int perSecond : new int[] {70, 100, 200, 400}) {
      in.clear();
      ConnectionAdmissionPolicy door = new ConnectionAdmissionPolicy(PLACES, ROOM, SPARE, true);
      double stays = 0;
      int shown = 0;
      for (double now = 0; now < 20_000; now += 1000.0 / perSecond) {
        door.newcomer(now);
        idle(now, 1);
        for (Client c; (c = door.next(now, in, 0)) != null; ) {
          in.remove(c);
          if (now > 5000) {
            stays += now - c.sinceMs;
            shown++;
          }
        }
      }
      double allowed = ROOM - Math.min(ROOM / 2, perSecond);
      assertThat(stays / shown)
          .as("at %d a second", perSecond)
          .isBetween(allowed / perSecond * 900, allowed / perSecond * 1100);
    }
  }

  @Test
  void theClaimOfNewcomersEndsWithTheirComing() {
    for (int i = 0; i < 500; i++) {
      rules.newcomer(1000);
    }
    assertThat(rules.claimed(1000)).isEqualTo(ROOM / 2);
    assertThat(rules.idleAllowed(1000, 10)).isEqualTo(ROOM / 2 - 10);
    assertThat(rules.claimed(2001)).isZero();
  }

  /**
   * Clients that keep their connections and come back are not shown out for those that ask once and
   * stay.
   */
  @Test
  void whoComesBackStaysWhereWhoAskedOnceGoes() {
    for (int i = 0; i < 60; i++) {
      idle(200, 5); // idle for 800 ms
      idle(600, 1); // idle for 400 ms
    }
    for (int i = 0; i < 60; i++) {
      rules.newcomer(1000);
    }
    assertThat(clear(1000)).hasSize(52).allMatch(c -> c.answered == 1);
  }

  /**
   * A crowd of newcomers, as of slow peers that are cut off and come again, takes no place in use.
   */
  @Test
  void whoAsksAllTheTimeIsBetweenTwoRequestsAndNotIdle() {
    for (int i = 0; i < 40; i++) {
      Client c = idle(950, 100); // 50 ms ago
      c.gapMs = 30;
    }
    for (int i = 0; i < 60; i++) {
      idle(900, 0).busy = true;
    }
    Client late = idle(700, 100); // 300 ms ago, with the same rhythm
    late.gapMs = 30;
    for (int i = 0; i < 300; i++) {
      rules.newcomer(1000);
    }
    Client once = idle(990, 1);
    in.subList(0, 40).forEach(c -> assertThat(c.busy).isFalse());
    assertThat(clear(1000)).doesNotContainAnyElementsOf(in.subList(0, 40)).isSubsetOf(once, late);
  }

  @Test
  void whenPlacesAreShortThoseThatNeverAskedGoFirstAndOldestFirst() {
    for (int i = 0; i < 90; i++) {
      idle(0, 1);
    }
    for (int i = 0; i < 100; i++) {
      idle(100 + i, 0).useless = true;
    }
    List<Client> out = clear(500);
    assertThat(out).hasSize(SPARE - 2).allMatch(c -> c.useless);
    assertThat(out).extracting(c -> c.sinceMs).isSorted().startsWith(100.0);
  }

  /** All places are held, half of them by slow peers: these go, and who asks all the time stays. */
  @Test
  void whenPlacesAreShortTheFurthestBehindGoBeforeThoseBetweenTwoRequests() {
    for (int i = 0; i < PLACES; i++) {
      Client c = idle(950, 100);
      c.gapMs = 30;
      c.busy = i % 2 == 0;
      c.behindMs = !c.busy ? 0 : i % 4 == 0 ? ConnectionAdmissionPolicy.BEHIND_MS : 600 + i;
    }
    List<Client> out = clear(1000);
    assertThat(out).hasSize(SPARE).allMatch(c -> c.behindMs > ConnectionAdmissionPolicy.BEHIND_MS);
    assertThat(out.get(0).behindMs).isEqualTo(600 + PLACES - 2);
    in.forEach(c -> c.behindMs = 0);
    for (int i = 0; i < SPARE; i++) {
      idle(950, 0).busy = true;
    }
    assertThat(clear(1000)).as("nobody is behind").hasSize(SPARE).noneMatch(c -> c.busy);
  }

  /**
   * Over random houses: nobody who keeps up with a request open goes, and nobody goes once the need
   * is met.
   */
  @Test
  void nobodyWhoKeepsUpWithARequestOpenIsShownOutAndNoMoreThanNeeded() {
    for (long seed = 1; seed <= 2000; seed++) {
      Random random = new Random(seed);
      in.clear();
      int places = 2 + random.nextInt(300);
      int spare = random.nextInt(Math.min(17, places));
      ConnectionAdmissionPolicy door =
          new ConnectionAdmissionPolicy(places, 1 + random.nextInt(places), spare, true);
      int n = random.nextInt(places + 1);
      for (int i = 0; i < n; i++) {
        Client c = idle(random.nextInt(5000), random.nextInt(3));
        c.useless = random.nextInt(4) == 0;
        c.busy = !c.useless && random.nextInt(3) == 0;
        c.behindMs = c.busy ? random.nextInt(1000) : 0;
        c.gapMs = random.nextInt(2000);
      }
      for (int i = random.nextInt(200); i > 0; i--) {
        door.newcomer(4000 + random.nextInt(1000));
      }
      int busy = (int) in.stream().filter(c -> c.busy).count();
      int idle =
          (int)
              in.stream()
                  .filter(
                      c ->
                          !c.busy
                              && !c.useless
                              && 5000 - c.sinceMs
                                  >= Math.min(
                                      ConnectionAdmissionPolicy.HORIZON_MS,
                                      ConnectionAdmissionPolicy.RHYTHM * c.gapMs))
                  .count();
      int taken = random.nextInt(places - n + 1);
      int out = 0;
      for (Client c; (c = door.next(5000, in, taken)) != null; out++) {
        assertThat(c.busy && c.behindMs <= ConnectionAdmissionPolicy.BEHIND_MS)
            .as("seed %d", seed)
            .isFalse();
        in.remove(c);
      }
      int needed = Math.max(0, spare - (places - n - taken));
      int over = Math.max(0, idle - door.idleAllowed(5000, busy));
      assertThat(out).as("seed %d", seed).isLessThanOrEqualTo(needed + over);
      assertThat(
              places - in.size() - taken >= spare
                  || in.stream()
                      .allMatch(c -> c.busy && c.behindMs <= ConnectionAdmissionPolicy.BEHIND_MS))
          .as("seed %d", seed)
          .isTrue();
    }
  }
}
