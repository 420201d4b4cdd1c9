package cacheproxy.proxy;

import cacheproxy.proxy.Exchange.Command;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Parses and formats the memcached meta text protocol, for client connections and connections to
 * cache nodes.
 */
final class MetaCodec {
  /** Maximum length of a value that a client may write, in bytes. */
  static final int MAX_REQUEST_VALUE_BYTES = 64 << 10;

  /**
   * Maximum length of a value in a cache node's or the origin's answer, in bytes. They may store
   * values longer than a client may write. Treating such a value as corrupt would fail all requests
   * on its connection, again at each retry. A length beyond this bound is treated as corrupt.
   */
  static final int MAX_RESPONSE_VALUE_BYTES = 4 << 20;

  /**
   * Values up to this length, in bytes, are buffered until complete, so that a client never sees
   * part of a corrupt one. Longer values are streamed to the client.
   */
  static final int MAX_BUFFERED_VALUE_BYTES = 64 << 10;

  /**
   * Maximum length of a line, in bytes. A valid line holds a key (at most 250 bytes) and short
   * lists; a longer one means that the framing is lost.
   */
  static final int MAX_LINE_BYTES = 4096;

  /** Maximum length of a key in this protocol; ids and receipts are shorter. */
  static final int MAX_TOKEN_LENGTH = 250;

  static final String FAILED = "SERVER_ERROR failed\r\n";
  static final String BUSY = "SERVER_ERROR busy";

  private MetaCodec() {}

  /** Thrown for input that violates the protocol. */
  static final class SyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    SyntaxException(String message) {
      super(message, null, false, false);
    }
  }

  /** Reads one line, without its terminator; null while the line is incomplete. */
  static String readLine(ByteBuf in) throws SyntaxException {
    int start = in.readerIndex();
    int end = in.indexOf(start, Math.min(in.writerIndex(), start + MAX_LINE_BYTES), (byte) '\n');
    if (end < 0) {
      if (in.readableBytes() >= MAX_LINE_BYTES) {
        throw new SyntaxException("line too long");
      }
      return null;
    }
    int length = end - start;
    if (length > 0 && in.getByte(end - 1) == '\r') {
      length--;
    }
    String line = in.toString(start, length, StandardCharsets.ISO_8859_1);
    in.readerIndex(end + 1);
    return line;
  }

  /** Parses a decimal length between 0 and the given maximum. */
  static int parseLength(String text, int max) throws SyntaxException {
    int n = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = text.charAt(i) - '0';
      if (digit < 0 || digit > 9 || n > max) {
        throw new SyntaxException("bad data length");
      }
      n = 10 * n + digit;
    }
    if (text.isEmpty() || n > max) {
      throw new SyntaxException("bad data length");
    }
    return n;
  }

  /**
   * Parses a client's command, in which each flag occurs once and no unknown flag is allowed; null
   * if it is malformed. Parsing is strict because a cache node closes a connection on which it
   * receives an invalid command, and that connection is shared by many clients.
   */
  static Command parseCommand(String line, boolean write) {
    String[] words = line.split(" ", -1);
    String id = null;
    String extras = null;
    int extrasStart = 0;
    int valueFlags = write ? 1 : 0;
    int at = 0;
    for (int i = 0; i < words.length; i++) {
      String word = words[i];
      if (word.isEmpty()) {
        return null;
      }
      if (i >= (write ? 3 : 2)) {
        if (word.equals("v") && !write) {
          valueFlags++;
        } else if (word.charAt(0) == 'O' && id == null) {
          id = word.substring(1);
        } else if (word.charAt(0) == 'P' && extras == null) {
          extras = word.substring(1);
          extrasStart = at + 1;
        } else {
          return null;
        }
      }
      at += word.length() + 1;
    }
    if (id == null
        || extras == null
        || valueFlags != 1
        || !isToken(words[1])
        || !isToken(id)
        || !isList(extras)) {
      return null;
    }
    int deadlineStart = valueAt(extras, "d");
    if (deadlineStart < 0) {
      return null;
    }
    int deadlineEnd = extras.indexOf(',', deadlineStart);
    return new Command(
        words[1],
        id,
        write,
        extras,
        line.substring(0, extrasStart + deadlineStart),
        line.substring(extrasStart + (deadlineEnd < 0 ? extras.length() : deadlineEnd)));
  }

  /**
   * Whether this is a comma-separated list of {@code name=value} entries without duplicate names.
   */
  private static boolean isList(String list) {
    Set<String> names = new HashSet<>();
    for (String entry : list.split(",", -1)) {
      int eq = entry.indexOf('=');
      if (eq <= 0 || !isToken(entry) || !names.add(entry.substring(0, eq))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Parses a non-negative decimal number of at most nine digits before the point; NaN if the text
   * is not one.
   */
  static double parseDecimal(String text) {
    int digits = 0;
    int points = 0;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '.' && i > 0 && i < text.length() - 1) {
        points++;
      } else if (c < '0' || c > '9') {
        return Double.NaN;
      } else if (points == 0) {
        digits++;
      }
    }
    return digits == 0 || digits > 9 || points > 1 || text.length() > 20
        ? Double.NaN
        : Double.parseDouble(text);
  }

  /** The token that starts at this index; "" at the end of the line. */
  static String tokenAt(String line, int start) {
    int end = line.indexOf(' ', start);
    return start >= line.length() ? "" : line.substring(start, end < 0 ? line.length() : end);
  }

  /**
   * The value of the first flag with this letter, from this index on; null if the line has none.
   */
  static String findFlag(String line, int from, char letter) {
    for (int at = from; at >= 0 && at < line.length(); at = line.indexOf(' ', at) + 1) {
      if (line.charAt(at) == letter) {
        return tokenAt(line, at).substring(1);
      }
      if (line.indexOf(' ', at) < 0) {
        break;
      }
    }
    return null;
  }

  /**
   * The value of this name in a list such as {@code c=read,d=480}; null if the list does not
   * contain the name.
   */
  static String parameter(String list, String name) {
    int at = valueAt(list, name);
    if (at < 0) {
      return null;
    }
    int end = list.indexOf(',', at);
    return list.substring(at, end < 0 ? list.length() : end);
  }

  /**
   * Returns the list with the value of a name that it contains replaced, and otherwise unchanged.
   */
  static String withParameter(String list, String name, String value) {
    int at = valueAt(list, name);
    int end = list.indexOf(',', at);
    return list.substring(0, at) + value + (end < 0 ? "" : list.substring(end));
  }

  /**
   * The index at which the value of this name begins in a list, or -1 if the list does not contain
   * the name.
   */
  static int valueAt(String list, String name) {
    for (int at = 0; at >= 0 && at < list.length(); at = list.indexOf(',', at) + 1) {
      if (list.startsWith(name, at) && list.startsWith("=", at + name.length())) {
        return at + name.length() + 1;
      }
      if (list.indexOf(',', at) < 0) {
        break;
      }
    }
    return -1;
  }

  /**
   * Parses a load report into the values that the routing module expects; null if the list or one
   * of its values is missing, or a value is not a finite number.
   */
  static float[] parseLoadReport(String list, List<String> names) {
    if (list == null || names.isEmpty()) {
      return null;
    }
    float[] report = new float[Math.min(4, names.size())];
    for (int i = 0; i < report.length; i++) {
      String value = parameter(list, names.get(i));
      if (value == null) {
        return null;
      }
      try {
        report[i] = Float.parseFloat(value);
        if (!Float.isFinite(report[i])) {
          return null;
        }
      } catch (NumberFormatException e) {
        return null;
      }
    }
    return report;
  }

  /**
   * Whether the text can be a token of a line: 1 to {@link #MAX_TOKEN_LENGTH} visible ASCII
   * characters.
   */
  static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
        return false;
      }
    }
    return !text.isEmpty() && text.length() <= MAX_TOKEN_LENGTH;
  }

  /** The first line of a successful read's answer, which the value follows. */
  static String valueHeader(int length, String id) {
    return "VA " + length + " O" + id + "\r\n";
  }

  /** The line that answers a successful write. */
  static String storedLine(String id, String receipt) {
    return "HD O" + id + " c" + receipt + "\r\n";
  }

  static ByteBuf asciiBuffer(ByteBufAllocator alloc, String text) {
    ByteBuf buf = alloc.buffer(text.length() + 2);
    ByteBufUtil.writeAscii(buf, text);
    return buf;
  }
}
