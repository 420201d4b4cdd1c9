package cacheproxy.proxy.peers;

import java.util.function.Consumer;

/**
 * Limits the number of log lines in a period, so that the log stays readable when much changes at
 * once. Further lines are dropped, and their number is logged before the first line of the next
 * period. Not thread-safe.
 */
final class RateLimitedLog {
  private final int maxLines;
  private final double periodMs;
  private final String droppedPrefix;
  private final Consumer<String> log;
  private double periodBeganMs;
  private int lines;
  private int dropped;

  /**
   * Creates a log whose first period has not begun.
   *
   * @param maxLines the maximum number of lines in a period
   * @param periodMs the length of a period
   * @param droppedPrefix text before the number in the line that reports dropped lines
   * @param log receives the lines that are not dropped
   */
  RateLimitedLog(int maxLines, double periodMs, String droppedPrefix, Consumer<String> log) {
    this.maxLines = maxLines;
    this.periodMs = periodMs;
    this.droppedPrefix = droppedPrefix;
    this.log = log;
  }

  void log(double nowMs, String line) {
    if (nowMs - periodBeganMs > periodMs) {
      if (dropped > 0) {
        log.accept(droppedPrefix + dropped);
      }
      periodBeganMs = nowMs;
      lines = dropped = 0;
    }
    if (lines++ < maxLines) {
      log.accept(line);
    } else {
      dropped++;
    }
  }
}
