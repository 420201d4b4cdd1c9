package cacheproxy.limits;

/**
 * How long a start may take to get warm, by who is kept waiting. Where others of the tier serve,
 * they carry this one's clients as well until it is back, so it takes the first part of the gain
 * and goes; where nobody serves, as when all start together, a start that is not warm is the
 * greater harm. Times in milliseconds, on any one clock.
 */
public final class WarmUpBudget {
  /**
   * Guards a tier in which one is away. Harm: what is not settled by then settles while it serves.
   */
  static final double AMID_OTHERS_MS = 900;

  /** Where there is nobody to ask. Guards a lone proxy's clients, who wait for as long. */
  static final double ALONE_MS = 1800;

  /**
   * Where others were asked and none has answered. Harm: with all answers lost, a restart takes
   * this long.
   */
  static final double TOGETHER_MS = 4000;

  /**
   * Who serves is asked again after this, as datagrams get lost; an answer takes up to two ways of
   * 30 ms.
   */
  public static final long ASK_AGAIN_MS = 150;

  private static final int ASKED_TIMES = 3;

  private final double startMs;
  private double spanMs;
  private int asksLeft;

  /**
   * @param peers whether there is anybody to ask
   */
  public WarmUpBudget(double nowMs, boolean peers) {
    startMs = nowMs;
    spanMs = peers ? TOGETHER_MS : ALONE_MS;
    asksLeft = peers ? ASKED_TIMES : 0;
  }

  /**
   * One that serves the same clients at the same addresses runs beside this one and goes only once
   * this is ready.
   */
  public void predecessor(double lastsMs) {
    spanMs = lastsMs;
    asksLeft = 0;
  }

  /** Whether to ask now who serves; true so many times only, and not once one is known to. */
  public boolean asks() {
    return asksLeft-- > 0;
  }

  /** One of the others has said that it serves. */
  public void oneServes() {
    spanMs = Math.min(spanMs, AMID_OTHERS_MS);
    asksLeft = 0;
  }

  /** How long the start may still take; 0: it ends, warm or not. */
  public double leftMs(double nowMs) {
    return Math.max(0, startMs + spanMs - nowMs);
  }
}
