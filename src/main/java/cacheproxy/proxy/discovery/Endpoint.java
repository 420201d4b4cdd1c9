package cacheproxy.proxy.discovery;

import cacheproxy.routing.RoutingApi.Member;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * A host on the endpoint list.
 *
 * @param member the host as the routing policy sees it
 * @param address address at which the host accepts connections
 */
public record Endpoint(Member member, InetSocketAddress address) {
  private static final int ID_RADIX = 16;

  /** The most hexadecimal digits that fit into an {@code int}. */
  private static final int MAX_ID_DIGITS = 8;

  /**
   * Returns the routing policy's id of the host with this name, which is the same at every proxy.
   * The id is the hexadecimal number after the last hyphen of the name (the entire name if it has
   * no hyphen), or the CRC-32 of the name if that is not such a number of at most {@value
   * #MAX_ID_DIGITS} digits.
   */
  public static int memberId(String hostName) {
    String digits = hostName.substring(hostName.lastIndexOf('-') + 1);
    try {
      if (digits.length() <= MAX_ID_DIGITS) {
        return Integer.parseUnsignedInt(digits, ID_RADIX);
      }
    } catch (NumberFormatException e) {
      // The name does not end in a hexadecimal number: its checksum is used.
    }
    CRC32 checksum = new CRC32();
    checksum.update(hostName.getBytes(StandardCharsets.UTF_8));
    return (int) checksum.getValue();
  }
}
