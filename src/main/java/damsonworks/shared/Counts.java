package damsonworks.shared;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What the tier did, of one kind: sends to a node, trials, second copies, origin reads, refusals. Each proxy counts its own
 * and tells its total; a total of one life of one number only grows, so totals merge by the greater one: in any order,
 * any number of times, with the same result. A former life's total is kept beside the present one's, so a restart loses and doubles
 * nothing.
 *
 * <p>A reading is an interval with an age and says whom it has not heard of: what was told is the least; what the silent may
 * have done since, at the rate that the caller says none can pass, makes the most. It serves to judge whether something is
 * crowded; what must not be passed is held by {@link Rights}, never by a reading.
 *
 * <p>Bounded: {@link #LIVES} lives of each number, and {@link #MARKS} moments to look back to. Times in milliseconds of one clock.
 */
public final class Counts {
    /** Of a number: the present one, one that ran beside it, and the sum of all before goes into the older. */
    static final int LIVES = 2;
    private static final int MARKS = 64;

    /** One total as it is told: whose, of which life, and how much. */
    public record Total(int proxy, int life, long count) { }

    /**
     * How often something was done within a window.
     *
     * @param least what is known
     * @param most with what those not heard of may have done
     * @param ageMs since the one heard of longest ago, of those heard of
     * @param silent numbers that were not heard of within the window
     */
    public record Reading(long least, long most, double ageMs, List<Integer> silent) { }

    private final int me;
    private final int life;
    private final int[] lives;
    private final long[] totals;
    private final double[] heardMs;
    /** Sums of all totals at past moments, newest last: a ring. */
    private final double[] markMs = new double[MARKS];
    private final long[] marks = new long[MARKS];
    private int marked;
    private final double markEveryMs;

    /**
     * @param life drawn at the start, not 0; two lives of one number differ by it
     * @param windowMs the longest window that will be read
     */
    public Counts(int tier, int me, int life, double windowMs, double now) {
        if (life == 0 || me < 0 || me >= tier) {
            throw new IllegalArgumentException("life " + life + " of proxy " + me + " of " + tier);
        }
        this.me = me;
        this.life = life;
        lives = new int[tier * LIVES];
        totals = new long[tier * LIVES];
        heardMs = new double[tier];
        Arrays.fill(heardMs, Double.NEGATIVE_INFINITY);
        lives[me * LIVES] = life;
        markEveryMs = windowMs / (MARKS - 2);
        mark(now);
    }

    /** This proxy has done it so often more. */
    public void add(double now, long count) {
        if (count < 0) {
            throw new IllegalArgumentException("count " + count);
        }
        look(now);
        totals[me * LIVES] = saturated(totals[me * LIVES], count);
    }

    private static long saturated(long a, long b) {
        return a > Long.MAX_VALUE - b ? Long.MAX_VALUE : a + b;
    }

    /** What this one tells of a proxy, itself among them. */
    public List<Total> totals(int proxy) {
        List<Total> all = new ArrayList<>();
        for (int l = proxy * LIVES; l < (proxy + 1) * LIVES; l++) {
            if (lives[l] != 0) {
                all.add(new Total(proxy, lives[l], totals[l]));
            }
        }
        return all;
    }

    /** Another's word, first-hand or passed on. False: it said nothing new. */
    public boolean merge(double now, Total told) {
        look(now);
        int p = told.proxy();
        if (p < 0 || p >= heardMs.length || told.life() == 0 || told.count() < 0 || p == me && told.life() == life) {
            return false;
        }
        int at = -1;
        for (int l = p * LIVES; l < (p + 1) * LIVES; l++) {
            at = lives[l] == told.life() ? l : at;
        }
        for (int l = p * LIVES; l < (p + 1) * LIVES && at < 0; l++) {
            if (lives[l] == 0) {
                lives[l] = told.life();
                at = l;
            }
        }
        if (at < 0) {
            // A third life: the one that has counted less is the one to forget, its total is over and small.
            at = p * LIVES + (p == me ? 1 : totals[p * LIVES] <= totals[p * LIVES + 1] ? 0 : 1);
            if (told.count() <= totals[at]) {
                return false;
            }
            lives[at] = told.life();
            totals[at] = 0;
        }
        if (p != me) {
            heardMs[p] = now;
        }
        boolean news = told.count() > totals[at];
        totals[at] = Math.max(totals[at], told.count());
        return news;
    }

    /** All that is known, as one number that only grows but for forgotten lives. */
    public long sum() {
        long all = 0;
        for (long t : totals) {
            all = saturated(all, t);
        }
        return all;
    }

    private void look(double now) {
        if (now - markMs[(marked - 1) % MARKS] >= markEveryMs) {
            mark(now);
        }
    }

    private void mark(double now) {
        markMs[marked % MARKS] = now;
        marks[marked % MARKS] = sum();
        marked++;
    }

    /**
     * What was done within the last so many milliseconds, or since this one's start.
     *
     * @param mostPerMs what no proxy can pass
     */
    public Reading read(double now, double windowMs, double mostPerMs) {
        look(now);
        long before = marks[Math.max(0, marked - MARKS) % MARKS];
        for (int m = Math.max(0, marked - MARKS); m < marked; m++) {
            if (markMs[m % MARKS] <= now - windowMs) {
                before = marks[m % MARKS];
            }
        }
        long least = Math.max(0, sum() - before);
        double may = 0;
        double age = 0;
        List<Integer> silent = new ArrayList<>();
        for (int p = 0; p < heardMs.length; p++) {
            if (p != me) {
                double since = now - heardMs[p];
                may += mostPerMs * Math.min(since, windowMs);
                if (since > windowMs) {
                    silent.add(p);
                } else {
                    age = Math.max(age, since);
                }
            }
        }
        return new Reading(least, saturated(least, (long) Math.ceil(may)), age, silent);
    }
}
