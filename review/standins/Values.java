package standins;

import java.util.Arrays;

/** Values that a stand-in makes for one request: the request's id, padded to a length. */
public final class Values {
  private Values() {}

  public static byte[] madeFor(String id, int length) {
    byte[] value = new byte[length];
    Arrays.fill(value, (byte) '.');
    byte[] name = Lines.bytes(id);
    System.arraycopy(name, 0, value, 0, Math.min(length, name.length));
    return value;
  }
}
