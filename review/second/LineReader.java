package reviewtwo;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines and blocks of bytes from a stream. */
final class LineReader {
  private final InputStream in;
  private double firstByteMs;

  LineReader(InputStream in) {
    this.in = in;
  }

  /** When the first byte of the last line was read. */
  double firstByteMs() {
    return firstByteMs;
  }

  /** The next line without its terminator; null at the end of the stream. */
  String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c; (c = in.read()) >= 0; ) {
      if (line.isEmpty()) {
        firstByteMs = Record.nowMs();
      }
      if (c == '\n') {
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r'
            ? line.substring(0, length - 1)
            : line.toString();
      }
      line.append((char) c);
    }
    return null;
  }

  String block(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the block ends early");
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
