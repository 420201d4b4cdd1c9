package cacheproxy.site;

import java.util.ArrayDeque;

/**
 * A place of work: so many slots, a waiting room, a speed that a cold start holds down, and moments
 * in which it stands still. Rules alone: it says when work that begins now will be done, and who is
 * next; whoever has the clock comes back then. Times in milliseconds.
 *
 * @param <J> what is worked on
 */
public final class ServiceQueue<J> {
  /**
   * @param slots worked on at a time
   * @param room so many wait at most
   * @param speed work of 1 ms takes 1 / speed ms
   * @param coldFrom part of the speed at its start, from 0 (exclusive) to 1
   * @param coldMs evenly up to the whole speed within this
   */
  public record Traits(int slots, int room, double speed, double coldFrom, double coldMs) {
    public Traits {
      if (slots < 1
          || room < 0
          || !(speed > 0)
          || !(coldFrom > 0 && coldFrom <= 1)
          || !(coldMs >= 0)) {
        throw new IllegalArgumentException(
            "slots "
                + slots
                + ", room "
                + room
                + ", speed "
                + speed
                + ", cold from "
                + coldFrom
                + " within "
                + coldMs
                + " ms");
      }
    }
  }

  private final Traits traits;
  private final ArrayDeque<J> waiting = new ArrayDeque<>();
  private double bornMs = Double.NEGATIVE_INFINITY;
  private double standsUntil = Double.NEGATIVE_INFINITY;
  private int busy;
  private double spentMs;

  public ServiceQueue(Traits traits) {
    this.traits = traits;
  }

  public int slots() {
    return traits.slots();
  }

  public double speed() {
    return traits.speed();
  }

  /** It has started anew, cold and with nothing in hand. */
  public void born(double nowMs) {
    bornMs = nowMs;
    busy = 0;
    waiting.clear();
  }

  /** Does nothing for so long; what is under way is done that much later. */
  public void stand(double nowMs, double forMs) {
    standsUntil = Math.max(standsUntil, nowMs + forMs);
  }

  /** Until when it stands still; in the past: it does not. */
  public double standsUntil() {
    return standsUntil;
  }

  /** Part of the whole speed that it has now. */
  public double warmth(double nowMs) {
    double age = nowMs - bornMs;
    return age >= traits.coldMs()
        ? 1
        : traits.coldFrom() + (1 - traits.coldFrom()) * Math.max(0, age) / traits.coldMs();
  }

  /** What comes of work that is offered. */
  public enum Offer {
    BEGINS,
    WAITS,
    TURNED_AWAY
  }

  /** Offers work: it takes a slot, a place in the waiting room or nothing. */
  public Offer offer(J job) {
    if (busy < traits.slots()) {
      busy++;
      return Offer.BEGINS;
    }
    if (waiting.size() < traits.room()) {
      waiting.add(job);
      return Offer.WAITS;
    }
    return Offer.TURNED_AWAY;
  }

  /** When work of so many milliseconds at a speed of 1 that begins now is done. */
  public double doneMs(double nowMs, double workMs) {
    spentMs += workMs;
    return Math.max(nowMs, standsUntil) + workMs / (traits.speed() * warmth(nowMs));
  }

  /**
   * Work is done or given up: who takes the slot next; null: nobody waits, and the slot is free.
   */
  public J next() {
    J next = waiting.poll();
    if (next == null) {
      busy--;
    }
    return next;
  }

  /** Who waits is called off. False: it does not wait. */
  public boolean callOff(J job) {
    return waiting.remove(job);
  }

  /** Work begun so far, in milliseconds at a speed of 1. */
  public double spentMs() {
    return spentMs;
  }

  public int inHand() {
    return busy + waiting.size();
  }
}
