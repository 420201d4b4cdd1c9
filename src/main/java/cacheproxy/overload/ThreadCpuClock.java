package cacheproxy.overload;

/**
 * A thread's processor time from what the system tells of it (Linux, {@code schedstat}: nanoseconds
 * on a processor, nanoseconds for which it could have run and did not, number of turns).
 */
public final class ThreadCpuClock {
  private double runMs = Double.NaN;
  private double heldMs;
  private double atMs;
  private double ran = Double.NaN;
  private double held = Double.NaN;

  /** The line as it is now; one that is of another form is left out. */
  public void read(double nowMs, String line) {
    int first = line.indexOf(' ');
    int second = line.indexOf(' ', first + 1);
    double run;
    double wait;
    try {
      run = Long.parseLong(line.substring(0, Math.max(0, first))) / 1e6;
      wait = Long.parseLong(line.substring(first + 1, Math.max(first + 1, second))) / 1e6;
    } catch (NumberFormatException e) {
      return;
    }
    if (!Double.isNaN(runMs) && nowMs > atMs) {
      ran = (run - runMs) / (nowMs - atMs);
      held = (wait - heldMs) / (nowMs - atMs);
    }
    runMs = run;
    heldMs = wait;
    atMs = nowMs;
  }

  /** Part of the time between the last two lines in which it ran; NaN: not known. */
  public double ran() {
    return ran;
  }

  /** Part of that time in which it could have run and was not let; NaN: not known. */
  public double held() {
    return held;
  }
}
