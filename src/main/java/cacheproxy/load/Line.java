package cacheproxy.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * One connection to the proxy, with one request on it at a time; reads its answer and judges its
 * form.
 */
final class Line extends ByteToMessageDecoder {
  /** A carriage return and a line feed, read as one number. */
  private static final short LINE_END = '\r' << 8 | '\n';

  private static final int MAX_LINE = 4096;
  private static final int MAX_VALUE = 4 << 20;

  /** Is told once for each request how it ended here; advice in milliseconds, 0: none. */
  interface Answer {
    void is(ClientTimeouts.End end, double adviceMs);
  }

  private final LoadWorker lane;
  private final int target;
  private Channel channel;
  private String id;
  private Answer answer;
  private int left;
  private boolean begun;
  private int answers;

  Line(LoadWorker lane, int target) {
    this.lane = lane;
    this.target = target;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  Channel channel() {
    return channel;
  }

  int target() {
    return target;
  }

  /** Nothing was answered on it yet. */
  boolean fresh() {
    return answers == 0;
  }

  /**
   * It had been used before, and ended without a byte of an answer: the request may have crossed
   * its end.
   */
  boolean crossed() {
    return answers > 0 && !begun;
  }

  void expect(String request, Answer to) {
    id = request;
    answer = to;
    begun = false;
    left = 0;
  }

  /** What is still to come is another's to hear of. */
  void instead(Answer to) {
    answer = to;
  }

  /** The client does not wait any more. */
  void forget() {
    answer = null;
  }

  void close() {
    channel.close();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (answer == null) {
      if (in.isReadable()) {
        in.skipBytes(in.readableBytes());
        lane.stray(); // twice, or nothing was asked
        ctx.close();
      }
      return;
    }
    begun |= in.isReadable();
    if (left > 0) {
      if (in.readableBytes() >= left) {
        in.skipBytes(left - 2);
        boolean whole = in.readShort() == LINE_END;
        left = 0;
        tell(whole, ClientTimeouts.End.SERVED, 0);
      }
      return;
    }
    int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    if (end < 0) {
      if (in.readableBytes() > MAX_LINE) {
        tell(false, ClientTimeouts.End.FAILED, 0);
      }
      return;
    }
    String text =
        in.toString(in.readerIndex(), end - in.readerIndex(), StandardCharsets.ISO_8859_1).strip();
    in.readerIndex(end + 1);
    line(text);
  }

  private void line(String text) {
    String[] words = text.split(" ");
    if (words[0].equals("VA") || words[0].equals("HD")) {
      boolean own = List.of(words).contains("O" + id);
      int bytes = words[0].equals("VA") ? length(words) : -1;
      if (!own || words[0].equals("VA") && bytes < 0) {
        tell(false, ClientTimeouts.End.FAILED, 0);
      } else if (bytes < 0) {
        tell(true, ClientTimeouts.End.SERVED, 0);
      } else {
        left = bytes + 2;
      }
    } else if (text.startsWith("SERVER_ERROR busy")) {
      double advice = 0;
      try {
        advice = words.length == 3 ? Double.parseDouble(words[2]) : 0;
      } catch (NumberFormatException e) {
        // advice that can't be read is none
      }
      tell(true, ClientTimeouts.End.REFUSED, advice);
    } else {
      tell(true, ClientTimeouts.End.FAILED, 0);
    }
  }

  private static int length(String[] words) {
    try {
      int n = words.length > 1 ? Integer.parseInt(words[1]) : -1;
      return n > MAX_VALUE ? -1 : n;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /**
   * What can't be read or is another's is a failed answer, and what follows can't be told apart.
   */
  private void tell(boolean sound, ClientTimeouts.End end, double adviceMs) {
    Answer to = answer;
    answer = null;
    answers++;
    if (!sound) {
      lane.stray();
      channel.close();
    }
    to.is(sound ? end : ClientTimeouts.End.FAILED, adviceMs);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    super.channelInactive(ctx);
    lane.gone(this);
    if (answer != null) {
      Answer to = answer;
      answer = null;
      to.is(ClientTimeouts.End.LOST, 0);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
