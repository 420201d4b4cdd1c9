package cacheproxy.admin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * The nodes that operators have taken out, as a log of their calls that two processes of one proxy
 * can write to: each record is one line with its checksum, appended in one write. What a crash has
 * cut off, or another hand has spoilt, is a line whose checksum fails, and says nothing; all others
 * hold, in the file's order, which is one order for both.
 */
public final class ManualEjectionLog {
  /**
   * Nodes out at one time. With more, calls out are turned down: a fleet is not taken out one by
   * one.
   */
  public static final int MOST_OUT = 4096;

  /** From this size on the log is to be written anew, by {@link #whole}. */
  public static final int COMPACT_FROM_BYTES = 64 << 10;

  /** The longest name of a node. Names are visible ASCII, as hosts on the list are. */
  public static final int LONGEST_NAME = 250;

  private ManualEjectionLog() {}

  /** Whether this can be a node's name. */
  public static boolean isName(String text) {
    return !text.isEmpty()
        && text.length() <= LONGEST_NAME
        && text.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  /**
   * One call. Begins with a line's end, so that what a crash has left of the one before can't spoil
   * it.
   */
  public static byte[] record(String node, boolean out) {
    String call = (out ? "down " : "up ") + node;
    return ("\n" + sum(call) + " " + call + "\n").getBytes(StandardCharsets.US_ASCII);
  }

  /** The nodes that are out after all calls of this log, in the order in which they went. */
  public static Set<String> out(byte[] log) {
    Set<String> out = new LinkedHashSet<>();
    for (String line : new String(log, StandardCharsets.ISO_8859_1).split("\n")) {
      int at = line.indexOf(' ');
      if (at < 0 || !sum(line.substring(at + 1)).equals(line.substring(0, at))) {
        continue;
      }
      int name = line.indexOf(' ', at + 1);
      if (line.startsWith("down ", at + 1)) {
        out.add(line.substring(name + 1));
      } else if (line.startsWith("up ", at + 1)) {
        out.remove(line.substring(name + 1));
      }
    }
    return out;
  }

  /** A log of no more than it takes for these to be out. */
  public static byte[] whole(Set<String> out) {
    StringBuilder log = new StringBuilder();
    for (String node : out) {
      log.append(new String(record(node, true), StandardCharsets.US_ASCII));
    }
    return log.toString().getBytes(StandardCharsets.US_ASCII);
  }

  private static String sum(String call) {
    CRC32C crc = new CRC32C();
    crc.update(call.getBytes(StandardCharsets.ISO_8859_1));
    return Long.toHexString(0x100000000L | crc.getValue()).substring(1);
  }
}
