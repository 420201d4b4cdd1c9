package cacheproxy.admin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * Format of the log of cache nodes that operators have ejected or reinstated by hand. Two processes
 * of one proxy append to the same log. A record is a line with a checksum, an action and a node
 * name, appended in a single write. A line with a wrong checksum (truncated by a crash, or edited)
 * is ignored. All other records are applied in file order, so both processes get the same result.
 * Pure functions, callable from any thread.
 */
public final class ManualEjectionLog {
  /** The maximum number of nodes that can be ejected at a time; further ejections are rejected. */
  public static final int MAX_EJECTED = 4096;

  /** A log longer than this is to be replaced by the result of {@link #compact}. */
  public static final int COMPACTION_THRESHOLD_BYTES = 64 << 10;

  /** The maximum length of a node's name, in characters. */
  public static final int MAX_NAME_LENGTH = 250;

  /**
   * The action of a record. Its keyword is part of the stored format and of the paths of operators'
   * calls.
   */
  public enum Action {
    /** Stops sending new requests to the node. */
    EJECT("down"),
    /** Reverts an ejection: the node gets requests again. */
    REINSTATE("up");

    private final String keyword;

    Action(String word) {
      this.keyword = word;
    }

    /** Returns the action's keyword in records and in the paths of operators' calls. */
    public String keyword() {
      return keyword;
    }

    private static Optional<Action> ofKeyword(String keyword) {
      for (Action action : values()) {
        if (action.keyword.equals(keyword)) {
          return Optional.of(action);
        }
      }
      return Optional.empty();
    }
  }

  private ManualEjectionLog() {}

  /**
   * Returns whether a text is a valid node name: 1 to {@link #MAX_NAME_LENGTH} visible ASCII
   * characters, without spaces.
   */
  public static boolean isNodeName(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_NAME_LENGTH
        && text.chars().allMatch(character -> character > ' ' && character <= '~');
  }

  /**
   * Encodes a record. It begins with a line break, so that it stays readable even if a crash has
   * truncated the record before it.
   */
  public static byte[] encode(String node, Action action) {
    String payload = action.keyword + " " + node;
    return ("\n" + checksum(payload) + " " + payload + "\n").getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Applies all records of a log and returns the nodes that are ejected after them, in the order of
   * ejection.
   */
  public static Set<String> ejectedNodes(byte[] log) {
    Set<String> ejected = new LinkedHashSet<>();
    for (String line : new String(log, StandardCharsets.ISO_8859_1).split("\n")) {
      apply(line, ejected);
    }
    return ejected;
  }

  private static void apply(String line, Set<String> ejected) {
    int payloadAt = line.indexOf(' ') + 1;
    if (payloadAt == 0) {
      return;
    }
    String payload = line.substring(payloadAt);
    int nodeAt = payload.indexOf(' ') + 1;
    if (nodeAt == 0 || !checksum(payload).equals(line.substring(0, payloadAt - 1))) {
      return;
    }
    String node = payload.substring(nodeAt);
    Action.ofKeyword(payload.substring(0, nodeAt - 1))
        .ifPresent(
            action -> {
              switch (action) {
                case EJECT -> ejected.add(node);
                case REINSTATE -> ejected.remove(node);
              }
            });
  }

  /** Returns the shortest log that ejects exactly these nodes. */
  public static byte[] compact(Set<String> ejected) {
    StringBuilder log = new StringBuilder();
    for (String node : ejected) {
      log.append(new String(encode(node, Action.EJECT), StandardCharsets.US_ASCII));
    }
    return log.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the CRC-32C checksum as eight hexadecimal digits. */
  private static String checksum(String payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload.getBytes(StandardCharsets.ISO_8859_1));
    return Long.toHexString(0x100000000L | crc.getValue()).substring(1);
  }
}
