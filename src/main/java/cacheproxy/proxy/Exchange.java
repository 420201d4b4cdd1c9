package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * One command of a client and the position of its answer in the order of the connection. A request
 * that the policy decides on is also in the dispatcher's table until it is finished and none of its
 * attempts is in flight.
 */
final class Exchange {
  final ClientConnection client;

  /** Null if the proxy answers without the policy. */
  final Command command;

  /** The answer while it waits for the answers to earlier commands of the connection. */
  ByteBuf answer;

  /** Bytes of the memory budget reserved for the answer. */
  int reservedBytes;

  int id;

  /** Index of the service class in the settings. */
  int classIndex;

  double dueMs;

  /**
   * Whether the request must not take effect twice. Its last attempt is then the first that may
   * have run.
   */
  boolean notIdempotent;

  /** Whether the request may be repeated even after it has run. */
  boolean idempotent;

  /** The long value that is being forwarded as the answer; null if there is none. */
  StreamedResponse streamedResponse;

  /**
   * Whether the final answer has been given or the client has disconnected. No further attempt is
   * made then.
   */
  boolean finished;

  int attemptsInFlight;
  Timers.Timer deadlineTimer;
  final List<Attempt> attempts = new ArrayList<>(3);

  Exchange(ClientConnection client, Command command) {
    this.client = client;
    this.command = command;
  }

  /** A command as received from the client. */
  static final class Command {
    final String key;
    final String id;
    final boolean write;

    /**
     * The comma-separated list of names and values, as received; null once the request is finished.
     */
    String extras;

    /** The command line before and after the deadline's value; null once it is finished. */
    private String lineBeforeDeadline;

    private String lineAfterDeadline;

    /** Bytes of the memory budget reserved for the line and the value. */
    int reservedBytes;

    /**
     * The value with its line terminator; null for reads. Kept for further attempts until the
     * request is finished.
     */
    ByteBuf value;

    Command(String key, String id, boolean write, String extras, String head, String tail) {
      this.key = key;
      this.id = id;
      this.write = write;
      this.extras = extras;
      this.lineBeforeDeadline = head;
      this.lineAfterDeadline = tail;
    }

    /**
     * The command line without its terminator. The deadline replaces the client's; everything else
     * is as received.
     */
    String line(long deadlineMs) {
      return lineBeforeDeadline + deadlineMs + lineAfterDeadline;
    }

    /**
     * The list of names and values. The deadline replaces the client's; everything else is as
     * received.
     */
    String extras(long deadlineMs) {
      return MetaCodec.withParameter(extras, "d", Long.toString(deadlineMs));
    }

    /** The memory that the line takes until {@link #release()}, in bytes. */
    int lineBytes() {
      return extras.length() + lineBeforeDeadline.length() + lineAfterDeadline.length();
    }

    /**
     * Releases the value and all of the line but key and id, which an attempt that is still in
     * flight needs to recognize its response.
     */
    void release() {
      extras = null;
      lineBeforeDeadline = null;
      lineAfterDeadline = null;
      if (value != null) {
        value.release();
        value = null;
      }
    }
  }

  /**
   * One attempt of a request at a server, or a health check of the server, which has no exchange.
   */
  static final class Attempt {
    final Exchange exchange;
    final int index;
    final int server;
    final double sentMs;

    /** The time at which the attempt times out. */
    final double timeoutAtMs;

    UpstreamConnection connection;

    /** Whether the last byte has been written. From then on the request may have run. */
    private boolean written;

    /** Whether the attempt has its outcome. */
    boolean ended;

    /** Whether the response, although no longer needed, still has to be read. */
    boolean abandoned;

    Timers.Timer timeoutTimer;

    Attempt(Exchange exchange, int index, int server, double sentMs, double untilMs) {
      this.exchange = exchange;
      this.index = index;
      this.server = server;
      this.sentMs = sentMs;
      this.timeoutAtMs = untilMs;
    }

    /**
     * The deadline sent to the server, in whole milliseconds: the remaining time of the attempt or
     * of the request, whichever is less, rounded down. The request's deadline may have been reduced
     * after the attempt was made. At least 1, as servers do not accept a deadline of 0.
     *
     * @param completeAtMs when the last byte of the request is written
     */
    long deadlineMs(double completeAtMs) {
      double endMs = exchange == null ? timeoutAtMs : Math.min(timeoutAtMs, exchange.dueMs);
      return Math.max(1, (long) Math.floor(endMs - completeAtMs));
    }

    boolean written() {
      return written;
    }

    /**
     * Records whether the last byte has been handed to the network. Returns true the first time it
     * has.
     */
    boolean markWritten(boolean complete) {
      boolean first = complete && !written;
      written |= complete;
      return first;
    }
  }
}
