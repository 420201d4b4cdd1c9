package cacheproxy.site;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import cacheproxy.site.EndpointRegistry.Health;
import cacheproxy.site.ServiceQueue.Offer;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What decides a stand-in's answers, on a clock of the test's own. */
class SiteRulesTest {
  @Test
  void aStationHasSlotsARoomAndTurnsTheRestAway() {
    ServiceQueue<String> s = new ServiceQueue<>(new ServiceQueue.Traits(2, 1, 2, 0.3, 1000));
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
    ServiceQueue<String> s = new ServiceQueue<>(new ServiceQueue.Traits(1, 1, 1, 0.25, 1000));
    s.offer("a");
    s.born(5000);
    assertThat(s.inHand()).isZero();
    assertThat(s.doneMs(5000, 10)).isEqualTo(5040);
    assertThat(s.warmth(5500)).isCloseTo(0.625, within(1e-9));
    assertThat(s.warmth(6000)).isEqualTo(1);
  }

  @Test
  void aShelfLetsTheLeastUsedGoAndDropsRepeatsWithinTheirWindow() {
    ValueStore shelf = new ValueStore(2, 1500);
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
    EndpointRegistry roster = new EndpointRegistry();
    roster.put(new EndpointRegistry.Host("s-1", "127.0.0.1:1", "a", "cache", Health.UP, 0));
    roster.put(new EndpointRegistry.Host("s-2", "127.0.0.1:2", "a", "cache", Health.UP, 0));
    long seen = roster.version();
    roster.health("s-1", Health.DRAINING);
    assertThat(roster.since(seen))
        .contains("\"whole\":false", "s-1", "draining")
        .doesNotContain("s-2");
    roster.health("s-1", Health.REMOVED);
    assertThat(roster.since(seen)).contains("removed");
    assertThat(roster.whole()).contains("\"whole\":true", "s-2").doesNotContain("s-1");
    assertThat(roster.since(99)).isEqualTo(roster.whole());
    assertThatThrownBy(() -> roster.health("s-9", Health.UP))
        .hasMessageContaining("no host s-9 among [s-1, s-2]");
  }

  @Test
  void aScenarioIsTheSameWithTheSameSeedAndDrawsOthersEachTime() throws Exception {
    String text =
        "[[fault]]\nat_s = 2\nwhat = 'stall'\npart = 0.41\nfor_ms = 160\nevery_s = 3\nuntil_s = 8\n"
            + "[[fault]]\nat_s = 1\nwhat = 'lists_out'\n[[fault]]\nat_s = 5\nwhat = 'crash'\nnode = 7\n";
    List<Scenario.Event> events = Scenario.parse("f", text, 20, 0, 1).events();
    assertThat(events)
        .hasSize(3 * 8 + 2)
        .isSortedAccordingTo(Comparator.comparingDouble(Scenario.Event::atMs));
    assertThat(events.get(0))
        .isEqualTo(new Scenario.Event(1000, Scenario.What.LISTS_OUT, -1, 1000));
    assertThat(events).contains(new Scenario.Event(5000, Scenario.What.CRASH, 7, 1000));
    assertThat(Scenario.parse("f", text, 20, 0, 1).events()).isEqualTo(events);
    assertThat(Scenario.parse("f", text, 20, 0, 2).events()).isNotEqualTo(events);
    List<Integer> first =
        events.stream().filter(e -> e.atMs() == 2000).map(Scenario.Event::node).toList();
    assertThat(first)
        .doesNotHaveDuplicates()
        .isNotEqualTo(
            events.stream().filter(e -> e.atMs() == 8000).map(Scenario.Event::node).toList());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        "[[fault]];at_s = 1;what = 'fire' | f, fault 1: 'what' fire: allowed are [stall, crash",
        "[[fault]];what = 'stall' | f, fault 1: 'at_s' null: allowed are 0.0 to 86400.0",
        "[[fault]];at_s = 1;what = 'stall';node = 20 | f, fault 1: 'node' 20: allowed are 0.0 to 19.0",
        "[[fault]];at_s = 1;what = 'stall';node = 1.5 | f, fault 1: 'node' 1.5",
        "[[fault]];at_s = 1;what = 'stall';node = 1;part = 0.5 | f, fault 1: 'node' and 'part'",
        "[[fault]];at_s = 1;what = 'stall';when = 1 | f, fault 1: 'when': allowed are [at_s",
        "[[fault]];at_s = 1;what = 'stall';part = 1;every_s = 0.01;until_s = 9000 | f, fault 1: 'every_s' 0.01: more than",
        "[[fault]];at_s = 5;what = 'stall';until_s = 4 | f, fault 1: 'until_s' 4: allowed are 5.0",
        "[other];a = 1 | f: 'other': only tables [[fault]]",
        "at_s = | f: not TOML"
      })
  void aScenarioThatCantBeUsedIsOneLine(String text, String says) {
    assertThatThrownBy(() -> Scenario.parse("f", text.replace(";", "\n"), 20, 0, 1))
        .isInstanceOf(Scenario.BadScenario.class)
        .hasMessageStartingWith(says)
        .hasMessageNotContaining("\n");
  }

  @Test
  void aColdServerIsPushedOverByAShortBurstAndNotByWhatItCanDo() {
    SlowStartGuard guard = new SlowStartGuard(3, 1500);
    for (int ms = 0;
        ms < 6000;
        ms += 10) { // twice what it can do: 20 ms of work in 10 ms, at 1 a millisecond
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
