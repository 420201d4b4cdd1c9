package reviewtwo;

/** A command of the meta protocol as a server has received it. */
record Command(String key, String id, boolean write, String extras, double firstByteMs) {
  /** Parses a command line without its terminator. */
  static Command parse(String line, double firstByteMs) {
    String id = "";
    String extras = "";
    String[] words = line.split(" ");
    for (String word : words) {
      if (word.startsWith("O")) {
        id = word.substring(1);
      } else if (word.startsWith("P")) {
        extras = word.substring(1);
      }
    }
    return new Command(words[1], id, line.startsWith("ms "), extras, firstByteMs);
  }
}
