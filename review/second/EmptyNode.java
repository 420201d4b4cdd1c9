package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;

/** A cache node that has no key. */
final class EmptyNode extends CacheNode {
  EmptyNode(String name) throws IOException {
    super(name, "127.0.0.1");
  }

  @Override
  void answer(Command command, OutputStream out) throws IOException {
    out.write(bytes("EN O" + command.id() + " h0\r\n"));
  }
}
