package cacheproxy.proxy.peers;

import java.util.function.Consumer;

/**
 * Passes log lines on, up to a number of them in a period, and then counts what was left out: the
 * log stays readable when much changes at once. On the event loop.
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
   * Creates a log with no lines yet.
   *
   * @param maxLines the most lines in a period
   * @param periodMs the length of a period
   * @param droppedPrefix begins the line that tells how many lines were dropped
   * @param log where the lines go
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
