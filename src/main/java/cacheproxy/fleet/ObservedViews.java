package cacheproxy.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * History of each proxy's membership view of every other proxy, together with the actual process
 * states that the rig records. Detects false majorities. The class uses neither sockets nor clocks:
 * its callers poll the proxies and pass in the views. Times are milliseconds of the rig's clock.
 * The history has one entry for each change of a state, and changes beyond {@link #MAX_CHANGES} are
 * not recorded.
 */
public final class ObservedViews {
  /**
   * A change of a proxy's state, as an observer sees it or as the rig knows it.
   *
   * @param observer number of the proxy that reports the state, or -1 for the actual state
   */
  public record ViewChange(double atMs, int observer, int subject, String state) {}

  /**
   * A proxy that was running while more than half of the running proxies saw it as dead. An
   * observer that has seen it as dead since before its latest start is not counted, because that
   * report is about the previous process, which did end. {@link #allCorrect} checks whether such an
   * observer corrects its view.
   */
  public record FalseMajority(double atMs, int subject, int accuserCount, int voterCount) {}

  private static final int MAX_CHANGES = 200_000;

  private final int proxies;

  /**
   * Latest state by observer and subject; the last row holds the actual states. Null if the
   * observer has not reported one yet.
   */
  private final String[][] states;

  /** Whether the observer receives datagrams directly from the subject, by observer and subject. */
  private final boolean[][] hearsDirectly;

  /** Time of the latest view of each proxy. */
  private final double[] lastReportMs;

  /** Time at which the entry of {@link #states} last changed, by observer and subject. */
  private final double[][] stateSinceMs;

  /** Time at which each proxy was last started. */
  private final double[] runningSinceMs;

  private final List<ViewChange> changes = new ArrayList<>();
  private final List<FalseMajority> falseMajorities = new ArrayList<>();

  /**
   * Whether a majority falsely sees the proxy as dead at present, so that each false majority is
   * recorded only once.
   */
  private final boolean[] inFalseMajority;

  ObservedViews(int proxies) {
    this.proxies = proxies;
    states = new String[proxies + 1][proxies];
    hearsDirectly = new boolean[proxies][proxies];
    lastReportMs = new double[proxies];
    stateSinceMs = new double[proxies + 1][proxies];
    runningSinceMs = new double[proxies];
    inFalseMajority = new boolean[proxies];
  }

  /** Records the actual state of a proxy's process. */
  public synchronized void recordTruth(double atMs, int subject, String state) {
    if (!isUp(subject)) {
      runningSinceMs[subject] = atMs;
    }
    recordChange(atMs, proxies, subject, state);
    // A process that has ended has no view any more.
    for (int p = 0; p < proxies && state.equals("down"); p++) {
      states[subject][p] = null;
    }
  }

  /** Records the complete view that a proxy has just reported. */
  public synchronized void recordView(
      double atMs, int observer, List<String> states, List<Boolean> hears) {
    lastReportMs[observer] = atMs;
    for (int subject = 0; subject < Math.min(proxies, states.size()); subject++) {
      recordChange(atMs, observer, subject, states.get(subject));
      hearsDirectly[observer][subject] = hears.get(subject);
    }
    for (int subject = 0; subject < proxies; subject++) {
      checkFalseMajority(atMs, subject);
    }
  }

  private void recordChange(double atMs, int observer, int subject, String state) {
    if (!state.equals(states[observer][subject])) {
      states[observer][subject] = state;
      stateSinceMs[observer][subject] = atMs;
      if (changes.size() < MAX_CHANGES) {
        changes.add(new ViewChange(atMs, observer == proxies ? -1 : observer, subject, state));
      }
    }
  }

  private boolean isUp(int p) {
    return states[proxies][p] != null && !states[proxies][p].equals("down");
  }

  private void checkFalseMajority(double atMs, int subject) {
    int accusers = 0;
    int voters = 1; // the proxy itself votes too, and sees itself as alive
    for (int observer = 0; observer < proxies; observer++) {
      if (observer != subject && isUp(observer)) {
        voters++;
        accusers +=
            "dead".equals(states[observer][subject])
                    && stateSinceMs[observer][subject] >= runningSinceMs[subject]
                ? 1
                : 0;
      }
    }
    boolean isFalseMajority =
        isUp(subject)
            && "serving paused slowed".contains(states[proxies][subject])
            && 2 * accusers > voters;
    if (isFalseMajority && !inFalseMajority[subject]) {
      falseMajorities.add(new FalseMajority(atMs, subject, accusers, voters));
    }
    inFalseMajority[subject] = isFalseMajority;
  }

  /** The state of one proxy as another sees it, or null if the observer has not reported one. */
  public synchronized String stateOf(int observer, int subject) {
    return states[observer][subject];
  }

  /** Whether the observer last reported that it receives datagrams directly from the subject. */
  public synchronized boolean hearsDirectly(int observer, int subject) {
    return hearsDirectly[observer][subject];
  }

  /**
   * Whether every running proxy sees all running proxies as alive and all others as dead, gone or
   * unknown.
   */
  public synchronized boolean allCorrect() {
    for (int observer = 0; observer < proxies; observer++) {
      for (int subject = 0; subject < proxies && isUp(observer); subject++) {
        String state = states[observer][subject];
        boolean down =
            state != null
                && (state.equals("dead") || state.equals("gone") || state.equals("unknown"));
        if (state == null || (isUp(subject) ? !state.equals("alive") : !down)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Number of running proxies that see the proxy in the given state. */
  public synchronized int countObservers(int subject, String state) {
    int count = 0;
    for (int observer = 0; observer < proxies; observer++) {
      count +=
          observer != subject && isUp(observer) && state.equals(states[observer][subject]) ? 1 : 0;
    }
    return count;
  }

  public synchronized List<FalseMajority> falseMajorities() {
    return List.copyOf(falseMajorities);
  }

  public synchronized List<ViewChange> changes() {
    return List.copyOf(changes);
  }

  /**
   * The views as a table: a row for each observer and a column for each observed proxy, with the
   * actual states in the first row.
   */
  public synchronized String table() {
    StringBuilder b = new StringBuilder("      ");
    for (int subject = 0; subject < proxies; subject++) {
      b.append(String.format("%4s", "n" + subject));
    }
    for (int observer = -1; observer < proxies; observer++) {
      b.append(String.format("%n%-6s", observer < 0 ? "truth" : "n" + observer));
      for (int subject = 0; subject < proxies; subject++) {
        String state = states[observer < 0 ? proxies : observer][subject];
        b.append(
            String.format(
                "%4s",
                state == null || observer >= 0 && !isUp(observer)
                    ? "-"
                    : symbol(state)
                        + (observer >= 0
                                && observer != subject
                                && !hearsDirectly[observer][subject]
                                && state.equals("alive")
                            ? "~"
                            : "")));
      }
    }
    return b.append(String.format("%n")).toString();
  }

  /** One-letter symbol of a state, for the tables. */
  static String symbol(String state) {
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
