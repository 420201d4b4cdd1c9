package damsonworks.site;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import damsonworks.site.Roster.Health;
import damsonworks.site.Station.Offer;
import org.junit.jupiter.api.Test;

/** What decides a stand-in's answers, on a clock of the test's own. */
class SiteRulesTest {
    @Test
    void aStationHasSlotsARoomAndTurnsTheRestAway() {
        Station<String> s = new Station<>(new Station.Traits(2, 1, 2, 0.3, 1000));
        assertThat(s.offer("a")).isEqualTo(Offer.BEGINS);
        assertThat(s.offer("b")).isEqualTo(Offer.BEGINS);
        assertThat(s.offer("c")).isEqualTo(Offer.WAITS);
        assertThat(s.offer("d")).isEqualTo(Offer.TURNED_AWAY);
        assertThat(s.doneMs(100, 20)).isEqualTo(110);
        s.stand(100, 50); // from now on it stands still: what begins is done that much later
        assertThat(s.doneMs(100, 20)).isEqualTo(160);
        assertThat(s.next()).isEqualTo("c");
        assertThat(s.callOff("c")).isFalse();
        assertThat(s.next()).isNull();
        assertThat(s.inHand()).isEqualTo(1);
    }

    @Test
    void aColdStationIsAsSlowAsItsRampSaysAndHasNothingInHand() {
        Station<String> s = new Station<>(new Station.Traits(1, 1, 1, 0.25, 1000));
        s.offer("a");
        s.born(5000);
        assertThat(s.inHand()).isZero();
        assertThat(s.doneMs(5000, 10)).isEqualTo(5040);
        assertThat(s.warmth(5500)).isCloseTo(0.625, within(1e-9));
        assertThat(s.warmth(6000)).isEqualTo(1);
    }

    @Test
    void aShelfLetsTheLeastUsedGoAndDropsRepeatsWithinTheirWindow() {
        Shelf shelf = new Shelf(2, 1500);
        shelf.put("a");
        shelf.put("b");
        assertThat(shelf.has("a")).isTrue();
        shelf.put("c");
        assertThat(shelf.has("b")).isFalse();
        assertThat(shelf.has("a")).isTrue();
        assertThat(shelf.takes(0, "k")).isTrue();
        assertThat(shelf.takes(1500, "k")).isFalse();
        assertThat(shelf.takes(1501, "k")).isTrue();
        assertThat(shelf.takes(1501, null)).isTrue();
    }

    @Test
    void aWatchIsToldWhatChangedAndAStrangerAll() {
        Roster roster = new Roster();
        roster.put(new Roster.Host("s-1", "127.0.0.1:1", "a", "cache", Health.UP, 0));
        roster.put(new Roster.Host("s-2", "127.0.0.1:2", "a", "cache", Health.UP, 0));
        long seen = roster.version();
        roster.health("s-1", Health.DRAINING);
        assertThat(roster.since(seen)).contains("\"whole\":false", "s-1", "draining").doesNotContain("s-2");
        roster.health("s-1", Health.REMOVED);
        assertThat(roster.since(seen)).contains("removed");
        assertThat(roster.whole()).contains("\"whole\":true", "s-2").doesNotContain("s-1");
        assertThat(roster.since(99)).isEqualTo(roster.whole());
        assertThatThrownBy(() -> roster.health("s-9", Health.UP)).hasMessageContaining("no host s-9 among [s-1, s-2]");
    }

    @Test
    void aColdServerIsPushedOverByAShortBurstAndNotByWhatItCanDo() {
        ColdGuard guard = new ColdGuard(3, 1500);
        for (int ms = 0; ms < 6000; ms += 10) { // twice what it can do: 20 ms of work in 10 ms, at 1 a millisecond
            assertThat(guard.sent(ms, 20, 1, true)).as("%d ms", ms).isZero();
        }
        double over = 0;
        for (int i = 0; i < 100; i++) {
            over = Math.max(over, guard.sent(6000, 20, 1, true));
        }
        assertThat(over).isGreaterThan(guard.allowed(1));
        assertThat(guard.sent(6000, 20, 1, false)).isZero();
    }
}
