package cacheproxy.limits;

/** Why a peer was cut off or made to wait. */
public enum DisconnectReason {
  /** It stood idle, and newcomers need the room. */
  IDLE,
  /** It never asked anything usable, and places were short. */
  USELESS,
  /** It connected and said nothing for too long. */
  SILENT,
  /** Its command came in below the least rate. */
  SLOW_WRITER,
  /** It took its answers below the least rate. */
  SLOW_READER,
  /**
   * It was behind, and held the most for the least served when memory was short, or a place when
   * none was free.
   */
  HOARDER,
  /** Its answer was refused, as memory had no room for it and all others kept up. */
  NO_ROOM,
  /** A server's answer came below the least rate. */
  SLOW_NODE,
  /** Its address was turned away again and again: it is read later. */
  HELD_OFF
}
