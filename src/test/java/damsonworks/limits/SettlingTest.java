package damsonworks.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettlingTest {
    /** Requests until it is settled, at most 10,000, where the one of this number costs so much. */
    private static int settlesAfter(IntToDoubleFunction cost) {
        Settling settling = new Settling(96, 24, 200);
        while (!settling.settled() && settling.served() < 10_000) {
            settling.served(cost.applyAsDouble(settling.served()));
        }
        return settling.served();
    }

    @Test
    void whatNeverGetsCheaperIsSettledWithTheThirdBatchAndNotBeforeTheLeast() {
        assertThat(settlesAfter(i -> 1000)).isEqualTo(3 * 96);
    }

    @Test
    void whatHalvesWithEachBatchIsNotSettledBeforeItStops() {
        assertThat(settlesAfter(i -> 1e6 / Math.pow(2, Math.min(10, i / 96)))).isEqualTo(13 * 96);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void pausesOfTheProcessorNeitherSettleItNorKeepItOpen(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        // One request in forty waits for 50 ms; what the others take falls for 960 requests.
        int after = settlesAfter(i -> (random.nextInt(40) == 0 ? 5e7 : 0) + 1e6 * Math.max(0.1, Math.pow(0.997, i)));
        assertThat(after).as("seed " + seed).isBetween(600, 2500);
    }

    @Test
    void theBestIsTheCheapestPart() {
        Settling settling = new Settling(4, 2, 0);
        assertThat(settling.bestNanos()).isNaN();
        for (double nanos : new double[] {50, 70, 20, 40}) {
            settling.served(nanos);
        }
        assertThat(settling.bestNanos()).isEqualTo(30);
    }

    @Test
    void partsThatDoNotFillABatchAreAnError() {
        assertThatThrownBy(() -> new Settling(10, 3, 0)).hasMessage("parts of 3 in batches of 10, least 0");
    }
}
