package cacheproxy.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What each proxy believed of each when, beside the truth that the rig knows, and what is to be
 * held against them. Rules alone: whoever asks the proxies tells it. Times in milliseconds of the
 * rig's clock. A change takes one entry; bounded.
 */
public final class ObservedViews {
  /**
   * @param by -1: the truth
   */
  public record Change(double atMs, int by, int of, String state) {}

  /**
   * A proxy that ran and that most of those who judge held for dead. Who has held it so since
   * before it was started has a death of its last life in mind, which was one; that this comes to
   * an end is not judged here ({@link #agreed}).
   */
  public record FalseMajority(double atMs, int of, int say, int judges) {}

  private static final int MOST_CHANGES = 200_000;

  private final int proxies;

  /** By who believes (the last row: the truth) and of whom; null: it has said nothing yet. */
  private final String[][] now;

  private final boolean[][] direct;
  private final double[] saidMs;

  /** Since when one has believed what it does of another. */
  private final double[][] sinceMs;

  /** Since when each has run. */
  private final double[] runsSinceMs;

  private final List<Change> changes = new ArrayList<>();
  private final List<FalseMajority> falseMajorities = new ArrayList<>();
  private final boolean[] held;

  ObservedViews(int proxies) {
    this.proxies = proxies;
    now = new String[proxies + 1][proxies];
    direct = new boolean[proxies][proxies];
    saidMs = new double[proxies];
    sinceMs = new double[proxies + 1][proxies];
    runsSinceMs = new double[proxies];
    held = new boolean[proxies];
  }

  public synchronized void truth(double atMs, int of, String state) {
    if (!lives(of)) {
      runsSinceMs[of] = atMs;
    }
    change(atMs, proxies, of, state);
    for (int p = 0; p < proxies && state.equals("down"); p++) { // it believes nothing any more
      now[of][p] = null;
    }
  }

  /** One proxy's whole view, as it has just said it. */
  public synchronized void said(double atMs, int by, List<String> states, List<Boolean> hears) {
    saidMs[by] = atMs;
    for (int of = 0; of < Math.min(proxies, states.size()); of++) {
      change(atMs, by, of, states.get(of));
      direct[by][of] = hears.get(of);
    }
    for (int of = 0; of < proxies; of++) {
      judge(atMs, of);
    }
  }

  private void change(double atMs, int by, int of, String state) {
    if (!state.equals(now[by][of])) {
      now[by][of] = state;
      sinceMs[by][of] = atMs;
      if (changes.size() < MOST_CHANGES) {
        changes.add(new Change(atMs, by == proxies ? -1 : by, of, state));
      }
    }
  }

  private boolean lives(int p) {
    return now[proxies][p] != null && !now[proxies][p].equals("down");
  }

  private void judge(double atMs, int of) {
    int say = 0;
    int judges = 1; // itself among them, who knows that it runs
    for (int by = 0; by < proxies; by++) {
      if (by != of && lives(by)) {
        judges++;
        say += "dead".equals(now[by][of]) && sinceMs[by][of] >= runsSinceMs[of] ? 1 : 0;
      }
    }
    boolean most =
        lives(of) && "serving paused slowed".contains(now[proxies][of]) && 2 * say > judges;
    if (most && !held[of]) {
      falseMajorities.add(new FalseMajority(atMs, of, say, judges));
    }
    held[of] = most;
  }

  /** What one believes of another; null: it has said nothing. */
  public synchronized String of(int by, int of) {
    return now[by][of];
  }

  public synchronized boolean direct(int by, int of) {
    return direct[by][of];
  }

  /** Whether each that runs holds all that run for alive and none of the others for present. */
  public synchronized boolean agreed() {
    for (int by = 0; by < proxies; by++) {
      for (int of = 0; of < proxies && lives(by); of++) {
        String s = now[by][of];
        boolean down = s != null && (s.equals("dead") || s.equals("gone") || s.equals("unknown"));
        if (s == null || (lives(of) ? !s.equals("alive") : !down)) {
          return false;
        }
      }
    }
    return true;
  }

  /** How many of those that run hold it for this. */
  public synchronized int holding(int of, String state) {
    int count = 0;
    for (int by = 0; by < proxies; by++) {
      count += by != of && lives(by) && state.equals(now[by][of]) ? 1 : 0;
    }
    return count;
  }

  public synchronized List<FalseMajority> falseMajorities() {
    return List.copyOf(falseMajorities);
  }

  public synchronized List<Change> changes() {
    return List.copyOf(changes);
  }

  /**
   * The views side by side: a row for each that believes, a column for each it is about, the truth
   * on top.
   */
  public synchronized String table() {
    StringBuilder b = new StringBuilder("      ");
    for (int of = 0; of < proxies; of++) {
      b.append(String.format("%4s", "n" + of));
    }
    for (int by = -1; by < proxies; by++) {
      b.append(String.format("%n%-6s", by < 0 ? "truth" : "n" + by));
      for (int of = 0; of < proxies; of++) {
        String s = now[by < 0 ? proxies : by][of];
        b.append(
            String.format(
                "%4s",
                s == null || by >= 0 && !lives(by)
                    ? "-"
                    : mark(s)
                        + (by >= 0 && by != of && !direct[by][of] && s.equals("alive")
                            ? "~"
                            : "")));
      }
    }
    return b.append(String.format("%n")).toString();
  }

  static String mark(String state) {
    return switch (state) {
      case "alive", "serving" -> "A";
      case "starting" -> "s";
      case "suspect" -> "?";
      case "dead", "down" -> "X";
      case "leaving" -> "l";
      case "gone" -> "g";
      case "paused" -> "P";
      case "slowed" -> "S";
      default -> ".";
    };
  }
}
