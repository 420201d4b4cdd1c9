package cacheproxy.load;

import java.util.List;

/**
 * A class of requests as clients send it.
 *
 * @param share of all requests, in any unit
 * @param write {@code ms} with a value, else {@code mg}
 * @param keyed carries an idempotency key, the same with each try
 * @param safe whether a client may try again whatever became of the last try
 * @param aimMs wanted within, for what counts as late
 * @param patienceMs a client gives the whole request up after this
 */
public record Kind(
    String name,
    double share,
    boolean write,
    boolean keyed,
    boolean safe,
    double aimMs,
    double patienceMs) {
  /** The site's mix as its brief has it. */
  public static final List<Kind> USUAL =
      List.of(
          new Kind("text", 57, false, false, true, 250, 1000),
          new Kind("image", 38, false, false, true, 300, 1000),
          new Kind("submit", 2.7, true, false, false, 250, 600),
          new Kind("publish", 1.8, true, true, false, 500, 1000));
}
