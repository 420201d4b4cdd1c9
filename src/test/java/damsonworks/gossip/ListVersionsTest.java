package damsonworks.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One proxy's view in virtual time; the others are what it hears. */
class ListVersionsTest {
    private static final int TIER = 14;
    private final ListVersions versions = new ListVersions(TIER, 0);

    /** What is done up to this time: calls of discovery, with the times at which. */
    private double asksBy(double end) {
        for (double now; (now = versions.dueMs()) <= end;) {
            versions.tells(now);
            if (versions.asks(now)) {
                return now;
            }
        }
        return Double.NaN;
    }

    @Test
    void aSilentWatchIsSeenOnceAnotherHasNews() {
        versions.own(0, 10, 0.5);
        asksBy(100);
        versions.heard(1000, 3, 11, 0.5);
        assertThat(asksBy(10_000)).isBetween(1000 + ListVersions.LATE_MS, 1000 + ListVersions.LATE_MS + ListVersions.ASK_SPREAD_MS);
    }

    @Test
    void aWatchThatIsOnlySomewhatLaterCallsNobody() {
        versions.own(0, 10, 0.5);
        versions.heard(1000, 3, 11, 0.5);
        versions.own(1000 + ListVersions.LATE_MS - 1, 11, 0.5);
        assertThat(asksBy(60_000)).isNaN();
    }

    /** One that counts otherwise, or is spoilt, costs fewer calls the longer it goes on; a sound one is still heard. */
    @Test
    void aMistakenPeerIsHeardLessAndLess() {
        versions.own(0, 10, 0.5);
        int calls = 0;
        for (double now = 0; now < 600_000; now += 100) {
            versions.heard(now, 5, Long.MAX_VALUE - (long) now, 0.5);
            calls += Double.isNaN(asksBy(now)) ? 0 : 1;
        }
        assertThat(calls).isBetween(2, 9);
        versions.heard(600_000, 6, 11, 0);
        assertThat(asksBy(600_000 + ListVersions.LATE_MS)).isNotNaN();
    }

    @Test
    void whatTwoOthersHaveToldIsNotToldAgain() {
        versions.own(0, 10, 1);
        versions.heard(10, 1, 10, 0.5);
        versions.heard(20, 2, 10, 0.5);
        assertThat(versions.tells(ListVersions.TELL_SPREAD_MS)).isZero();
        versions.heard(1000, 4, 9, 0); // but who is behind is told
        assertThat(versions.tells(1000)).isEqualTo(10);
    }

    /** Spoilt numbers and versions, peers that are none: bounded in what is told and asked, and never stuck. */
    @Test
    void whateverIsHeardToldAndAskedStayBounded() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        int told = 0;
        int asked = 0;
        long own = 1;
        for (double now = 0; now < 100_000; now += 10) {
            if (random.nextInt(100) == 0) {
                own += random.nextInt(3) - (random.nextInt(50) == 0 ? own : 0);
                versions.own(now, own, random.nextDouble());
            }
            versions.heard(now, random.nextInt(-3, 20), random.nextInt(4) == 0 ? random.nextLong() : own + 1, random.nextDouble());
            told += versions.tells(now) > 0 ? 1 : 0;
            asked += versions.asks(now) ? 1 : 0;
        }
        assertThat(told).as("seed %d", seed).isLessThanOrEqualTo((int) (100_000 / ListVersions.TELL_AGAIN_MS) + 1);
        assertThat(asked).as("seed %d", seed).isBetween(1, (int) (100_000 / ListVersions.LATE_MS) + 1);
    }
}
