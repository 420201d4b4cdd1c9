package cacheproxy.site;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Records when the event loop polls its sockets, to tell when data arrived at the earliest. Netty
 * calls {@link #calculateStrategy} once per round of the loop. If the loop was kept from running,
 * it reads data long after its arrival, and a verdict by the time of reading would blame the
 * sender. Data that is read in one round was not there when the previous round polled, so it
 * arrived after the start of the previous round. Used on the event loop only.
 */
final class SelectTimes implements SelectStrategy {
  /**
   * Number of rounds after the acceptance of a connection by which the event loop has polled the
   * socket of that connection.
   */
  private static final int ROUNDS_UNTIL_POLLED = 2;

  private final SelectStrategy delegate = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
  private long previousRoundNanos = System.nanoTime();
  private long currentRoundNanos = previousRoundNanos;
  private long rounds;

  /**
   * Time of the acceptance of a connection.
   *
   * @param round round of the event loop in which it was accepted
   * @param earliestArrivalNanos earliest time at which data that came along with the connection can
   *     have arrived
   */
  record AcceptedConnection(long round, long earliestArrivalNanos) {}

  @Override
  public int calculateStrategy(IntSupplier select, boolean hasTasks) throws Exception {
    previousRoundNanos = currentRoundNanos;
    currentRoundNanos = System.nanoTime();
    rounds++;
    return delegate.calculateStrategy(select, hasTasks);
  }

  /** Records that a connection is accepted in the current round. */
  AcceptedConnection connectionAccepted() {
    return new AcceptedConnection(rounds, previousRoundNanos);
  }

  /**
   * Earliest time, on the clock of {@link System#nanoTime}, at which data that is read now on this
   * connection can have arrived. In the first rounds after the acceptance of a connection, this is
   * the time recorded then, because its first bytes may have arrived before it was accepted.
   */
  long earliestArrivalNanos(AcceptedConnection connection) {
    return rounds <= connection.round() + ROUNDS_UNTIL_POLLED
        ? connection.earliestArrivalNanos()
        : previousRoundNanos;
  }
}
