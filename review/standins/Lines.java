package standins;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reading and writing of text lines that end in CRLF. */
final class Lines {
  private static final int MAX_LINE = 64 << 10;

  private Lines() {}

  /** Reads a line without its end; null if the stream has ended before its first byte. */
  static String read(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c; (c = in.read()) != '\n'; ) {
      if (c < 0) {
        if (line.length() == 0) {
          return null;
        }
        throw new EOFException("end within a line");
      }
      line.append((char) c);
      if (line.length() > MAX_LINE) {
        throw new IOException("line too long");
      }
    }
    int length = line.length();
    if (length > 0 && line.charAt(length - 1) == '\r') {
      line.setLength(length - 1);
    }
    return line.toString();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The rest of the first word that begins with this letter; null if there is none. */
  static String flag(String line, char letter) {
    String[] words = line.split(" ");
    for (int i = 1; i < words.length; i++) {
      if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
        return words[i].substring(1);
      }
    }
    return null;
  }
}
