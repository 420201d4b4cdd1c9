package cacheproxy.site;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * When the site's loop last looked at its sockets: heard where Netty asks, once a round, whether it
 * may wait for them. A loop that was kept from running reads late what came long before, and who
 * judges by the time of reading would blame the sender. What is read in one round was not there
 * when the round before asked, so that it came at that round's beginning at the earliest. On the
 * loop.
 */
final class SelectTimes implements SelectStrategy {
  /** So many rounds after a connection was taken it has been looked at by itself. */
  private static final int FIRST_ROUNDS = 2;

  private final SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
  private long before = System.nanoTime();
  private long current = before;
  private long rounds;

  /**
   * When a connection was taken, by this round and by the earliest time at which what came with it
   * can have come.
   */
  record Taken(long round, long cameAfter) {}

  @Override
  public int calculateStrategy(IntSupplier select, boolean hasTasks) throws Exception {
    before = current;
    current = System.nanoTime();
    rounds++;
    return usual.calculateStrategy(select, hasTasks);
  }

  /** A connection is taken in this round. */
  Taken taken() {
    return new Taken(rounds, before);
  }

  /**
   * What is read now on this connection came after this, of {@link System#nanoTime}: its first
   * bytes may have come with it.
   */
  long cameAfter(Taken connection) {
    return rounds <= connection.round() + FIRST_ROUNDS ? connection.cameAfter() : before;
  }
}
