package cacheproxy.membership;

/**
 * How a member of the tier stands in somebody's view. At one incarnation the later of these
 * outweighs the earlier; the order is part of the wire's grammar.
 */
public enum State {
  /** Nothing was heard of it yet, by anybody. */
  UNKNOWN,
  /** Its process runs and does not take clients yet. Said by itself. */
  STARTING,
  /** It takes clients. Said by itself, or by one that has heard it since it was accused. */
  ALIVE,
  /** Somebody had no answer from it, nor through others; it has time to refute that. */
  SUSPECT,
  /** It was told to end and finishes what it has. Said by itself. */
  LEAVING,
  /**
   * It did not refute a suspicion in time. Each judges that alone; on the wire it is one more
   * accusation.
   */
  DEAD,
  /** It has left as it said it would. */
  GONE;

  /** Whether somebody else says that it is not there. */
  public boolean accusation() {
    return this == SUSPECT || this == DEAD;
  }

  /** Whether it is believed to be there, with or without doubt. */
  public boolean present() {
    return this == STARTING || this == ALIVE || this == SUSPECT || this == LEAVING;
  }

  /** Whether it is asked now and then only, as it is believed not to be there. */
  public boolean away() {
    return this == DEAD || this == GONE;
  }
}
