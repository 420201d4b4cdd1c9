package cacheproxy.limits;

import java.util.EnumMap;
import java.util.Map;

/**
 * All named bounds in one place. {@link #of} gives those that follow from the memory and the
 * descriptors that the platform allows; an operator may set any of them.
 *
 * @param places clients' connections at one time
 * @param clientsRoom how many of them are meant for clients that ask
 * @param valueBytes clients' values until their requests are over
 * @param readingBytes answers of servers that are not whole yet
 * @param answerBytes answers that clients have not taken yet
 * @param clientAnswerBytes the same of one client, from which on nothing more is read from it
 * @param clientWrite the least rate of a client that is within a command
 * @param clientRead the least rate of a client that is owed answers
 * @param nodeAnswer the least rate of a server within an answer
 * @param silentMs how long a client may be connected and say nothing, in milliseconds
 * @param sendBufferBytes the system's buffer for one client's answers, of which it may hold some
 *     three times as much
 * @param showOutIdle whether idle connections make way for newcomers before places are short
 * @param holdOff whether addresses that come again at once after being turned away have to wait
 */
public record Limits(
    int places,
    int clientsRoom,
    long valueBytes,
    long readingBytes,
    long answerBytes,
    long clientAnswerBytes,
    MinimumRate clientWrite,
    MinimumRate clientRead,
    MinimumRate nodeAnswer,
    double silentMs,
    int sendBufferBytes,
    boolean showOutIdle,
    boolean holdOff) {

  /** Descriptors that the JVM, the listening socket, discovery and peers need. */
  private static final int OWN_DESCRIPTORS = 64;

  /**
   * Each kind of bytes that is bounded, values and answers being read and answers held, has a
   * quarter of the direct memory that deploy/serve.sh gives the JVM; the last quarter is for what
   * has come in and is not worked off. Long values that are passed on share the quarter of those
   * being read, half each. More would end in an OutOfMemoryError, which cuts off whoever happens to
   * be read next.
   */
  private static long part(int memoryMb) {
    long bytes = (long) memoryMb << 20;
    return Math.max(
        LONGEST_ANSWER, memoryMb >= 96 ? bytes / 16 : memoryMb >= 64 ? bytes / 26 : bytes / 32);
  }

  /** With less the longest answer (1 MiB, with its head) would never fit. */
  private static final long LONGEST_ANSWER = (1 << 20) + (16 << 10);

  private static final int LEAST_PLACES = 16;

  /**
   * A command is written within 2 s by any client of the platform, a value of 64 KiB within 6 s
   * more at this rate. Guards places against those who write a byte at a time; harms a client on a
   * line slower than that.
   */
  private static final MinimumRate CLIENT_WRITE = new MinimumRate(16 << 10, 2200);

  /**
   * Requests are given up after a second or so: who has not taken an answer by then has no use for
   * it.
   */
  private static final MinimumRate CLIENT_READ = new MinimumRate(16 << 10, 3000);

  /**
   * An answer is written in one go, so one that stops for this long within is spoilt: a length that
   * does not fit, a line without end, a trickle. A node that pauses for longer within an answer
   * loses it, and the request one of its attempts.
   */
  private static final MinimumRate NODE_ANSWER = new MinimumRate(512 << 10, 150);

  private static final double SILENT_MS = 2200;
  private static final long CLIENT_ANSWER_BYTES = 256 << 10;

  /**
   * Left to itself, the system takes up to 4 MiB for a client that reads nothing: its rate would
   * say nothing, and memory that nobody here counts would be held for each. With this it takes some
   * 380 KiB. Harm: an answer that is longer takes more rounds of the loop.
   */
  private static final int SEND_BUFFER_BYTES = 128 << 10;

  /** What follows from the platform's limits, in megabytes and descriptors. */
  public static Limits of(int memoryMb, int sockets) {
    long part = part(memoryMb);
    int third = sockets / 3;
    return new Limits(
        Math.max(LEAST_PLACES, sockets - third - OWN_DESCRIPTORS),
        third,
        part,
        part / 2,
        part,
        Math.min(CLIENT_ANSWER_BYTES, part),
        CLIENT_WRITE,
        CLIENT_READ,
        NODE_ANSWER,
        SILENT_MS,
        SEND_BUFFER_BYTES,
        true,
        true);
  }

  /**
   * The bounds on what all peers together may hold. What has come already is charged and not
   * refused.
   */
  public Map<BufferPurpose, Long> bounds() {
    Map<BufferPurpose, Long> bounds = new EnumMap<>(BufferPurpose.class);
    bounds.put(BufferPurpose.VALUE, valueBytes);
    bounds.put(BufferPurpose.READING, readingBytes);
    bounds.put(BufferPurpose.PASSING, Math.max(StreamingWindow.LEAST_BYTES, readingBytes));
    bounds.put(BufferPurpose.ANSWER, answerBytes);
    bounds.put(BufferPurpose.INPUT, valueBytes);
    return bounds;
  }
}
