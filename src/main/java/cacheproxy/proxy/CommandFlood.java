package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;

/** Recognizes clients that send more commands at once than a connection may have open. */
final class CommandFlood {
  /** If one read contains more complete commands than this, none of them is executed. */
  private static final int MAX_COMMANDS = 2 * ClientConnection.MAX_PIPELINED;

  private CommandFlood() {}

  /**
   * Checks one read. Counts lines only up to the first write command, as its value may contain any
   * bytes.
   *
   * @throws MetaCodec.SyntaxException if it contains too many commands
   */
  static void check(ByteBuf in) throws MetaCodec.SyntaxException {
    int lines = 0;
    for (int at = in.readerIndex(); lines <= MAX_COMMANDS; lines++) {
      int end = in.indexOf(at, in.writerIndex(), (byte) '\n');
      if (end < 0 || isWriteCommand(in, at, end)) {
        return;
      }
      at = end + 1;
    }
    throw new MetaCodec.SyntaxException("too many commands at once");
  }

  private static boolean isWriteCommand(ByteBuf in, int begin, int end) {
    return end > begin + 1 && in.getByte(begin) == 'm' && in.getByte(begin + 1) == 's';
  }
}
